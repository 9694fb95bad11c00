// Package harness starts the system's programs and its stand-ins as separate
// processes, for the integration tests and for the tools that demonstrate or
// measure a whole deployment.
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
	listening map[string]netip.AddrPort // by role of the listener
	changed   chan struct{}             // closed and replaced with every new listener
}

// Start starts a program and copies its output to log, without the lines that
// announce listeners.
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
	go process.readOutput(stdout, log)
	return process, nil
}

// Address waits until the program has printed the address of the listener with
// this role, and returns the address. The role is empty for programs with one
// listener.
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
			return netip.AddrPort{}, flamingodoor.Errorf(flamingodoor.CodeInternal, "%s did not listen as %q within %v", p.Name, role, startTimeout)
		}
	}
}

// Pid returns the process identifier.
func (p *Process) Pid() int {
	return p.command.Process.Pid
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM and does not wait for the process to end.
func (p *Process) Terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Stop sends SIGTERM, also to a suspended process, and kills the process if it
// has not ended after stopTimeout.
func (p *Process) Stop() {
	p.Resume()
	p.Terminate()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// readOutput reads the standard output until it is closed, waits for the process
// and closes exited.
func (p *Process) readOutput(stdout io.Reader, log io.Writer) {
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "listening ") {
			p.recordListener(line)
			continue
		}
		_, _ = io.WriteString(log, line+"\n")
	}
	_ = p.command.Wait()
	close(p.exited)
}

// recordListener records the address from a line such as
// "listening role=peer address=127.0.0.1:8081".
func (p *Process) recordListener(line string) {
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

// Build compiles the programs of the repository at root into a directory,
// with the race detector if race is set.
func Build(ctx context.Context, root, directory string, race bool) error {
	arguments := []string{"build", "-o", directory + string(os.PathSeparator)}
	if race {
		arguments = append(arguments, "-race")
	}
	command := exec.CommandContext(ctx, "go", append(arguments, "./cmd/...")...) //nolint:gosec // Only the output directory varies.
	command.Dir = root
	output, err := command.CombinedOutput()
	if err != nil {
		return flamingodoor.Errorf(flamingodoor.CodeInternal, "building the programs: %v\n%s", err, output)
	}
	return nil
}
