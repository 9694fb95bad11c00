package roster

import "cmp"

func compareKeys(a, b GroupKey) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
}

func compareStrings(a, b string) int {
	return cmp.Compare(a, b)
}
