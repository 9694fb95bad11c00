// Package harness starts the system's programs as separate processes for the
// demo and the integration tests.
package harness

import (
	"bufio"
	"context"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
)

// Process is a running program.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}

	mutex     sync.Mutex
	listening map[string]netip.AddrPort
	changed   chan struct{}
}

// Start runs a program and writes its output to the log.
func Start(ctx context.Context, name, program string, log io.Writer, arguments ...string) (*Process, error) {
	command := exec.CommandContext(ctx, program, arguments...) //nolint:gosec // The caller names the programs that it built.
	command.Stderr = log
	command.WaitDelay = time.Second
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	if err := command.Start(); err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	process := &Process{
		Name:      name,
		command:   command,
		exited:    make(chan struct{}),
		listening: make(map[string]netip.AddrPort),
		changed:   make(chan struct{}),
	}
	go process.follow(stdout, log)
	return process, nil
}

// Address waits until the program prints the address of a listener. The role
// is empty for programs with one listener.
func (p *Process) Address(role string) (netip.AddrPort, error) {
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	for {
		p.mutex.Lock()
		address, ok := p.listening[role]
		changed := p.changed
		p.mutex.Unlock()
		if ok {
			return address, nil
		}
		select {
		case <-changed:
		case <-p.exited:
			return netip.AddrPort{}, flamingodoor.Errorf(flamingodoor.CodeInternal, "%s exited before listening as %q", p.Name, role)
		case <-deadline.C:
			return netip.AddrPort{}, flamingodoor.Errorf(flamingodoor.CodeInternal, "%s did not listen as %q", p.Name, role)
		}
	}
}

// Pid is the process identifier.
func (p *Process) Pid() int {
	return p.command.Process.Pid
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate asks the process to stop and returns at once.
func (p *Process) Terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Stop asks the process to stop and kills it when that takes too long.
func (p *Process) Stop() {
	p.Resume()
	p.Terminate()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

func (p *Process) follow(stdout io.Reader, log io.Writer) {
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "listening ") {
			p.noteListener(line)
			continue
		}
		_, _ = io.WriteString(log, line+"\n")
	}
	_ = p.command.Wait()
	close(p.exited)
}

func (p *Process) noteListener(line string) {
	var role string
	var address netip.AddrPort
	for field := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "role":
			role = value
		case "address":
			address, _ = netip.ParseAddrPort(value)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listening[role] = address
	close(p.changed)
	p.changed = make(chan struct{})
}

// Build compiles the programs into a directory.
func Build(ctx context.Context, root, directory string, race bool) error {
	arguments := []string{"build", "-o", directory + string(os.PathSeparator)}
	if race {
		arguments = append(arguments, "-race")
	}
	command := exec.CommandContext(ctx, "go", append(arguments, "./cmd/...")...) //nolint:gosec // Fixed arguments but for the output directory.
	command.Dir = root
	output, err := command.CombinedOutput()
	if err != nil {
		return flamingodoor.Errorf(flamingodoor.CodeInternal, "building the programs: %v\n%s", err, output)
	}
	return nil
}
