package localdeploy

import (
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/keys"
	"github.com/bramleypick/bramleypick/internal/settings"
)

const (
	// certificateValidity is the validity period of the CA and the certificates.
	certificateValidity = 30 * 24 * time.Hour
	// dirMode and fileMode make the keys and the token readable only by their owner.
	dirMode  = 0o700
	fileMode = 0o600
)

// Write writes the files of the deployment below plan.Dir: a settings file for each VM, the CA, the certificates of the
// VMs and the operator token. It returns the paths of the settings files.
func Write(plan Plan) ([]string, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	dir, err := filepath.Abs(plan.Dir)
	if err != nil {
		return nil, errors.Wrap(err, "resolve deployment directory")
	}
	plan.Dir = dir
	if err := os.MkdirAll(filepath.Join(dir, "keys"), dirMode); err != nil {
		return nil, errors.Wrap(err, "create deployment directory")
	}
	if err := writeToken(plan.tokenFile()); err != nil {
		return nil, err
	}
	if err := writeKeys(plan); err != nil {
		return nil, err
	}
	return writeSettings(plan)
}

func (p Plan) tokenFile() string { return filepath.Join(p.Dir, "operator.token") }

func (p Plan) keyFile(name, suffix string) string {
	return filepath.Join(p.Dir, "keys", name+suffix)
}

func writeToken(file string) error {
	return errors.Wrap(os.WriteFile(file, []byte(rand.Text()+"\n"), fileMode), "write operator token")
}

func writeKeys(plan Plan) error {
	now := time.Now()
	ca, err := keys.NewAuthority(now, certificateValidity)
	if err != nil {
		return err
	}
	if err := ca.Save(plan.keyFile("ca", ".crt"), plan.keyFile("ca", ".key")); err != nil {
		return err
	}
	for _, vm := range plan.vms() {
		pair, err := ca.Issue(vm.name, []netip.Addr{vm.ip}, now, certificateValidity)
		if err != nil {
			return err
		}
		if err := pair.Save(plan.keyFile(vm.name, ".crt"), plan.keyFile(vm.name, ".key")); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(plan Plan) ([]string, error) {
	var files []string
	for _, vm := range plan.vms() {
		data, err := json.MarshalIndent(plan.settingsOf(vm), "", "  ")
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		file := filepath.Join(plan.Dir, vm.name+".json")
		if err := os.WriteFile(file, append(data, '\n'), fileMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		files = append(files, file)
	}
	return files, nil
}

func (p Plan) settingsOf(vm vmPlan) settings.Settings {
	s := settings.Settings{
		Name: vm.name, Zone: vm.zone,
		CallerAddress: vm.address(0), OperatorAddress: vm.address(1), PeerAddress: vm.address(2),
		Roles:             []settings.Role{settings.RoleGateway},
		TLS:               settings.TLS{CAFile: p.keyFile("ca", ".crt"), CertFile: p.keyFile(vm.name, ".crt"), KeyFile: p.keyFile(vm.name, ".key")},
		OperatorTokenFile: p.tokenFile(),
	}
	for _, other := range p.vms() {
		if other.nodeID != 0 && vm.nodeID != 0 {
			s.BootstrapVoters = append(s.BootstrapVoters, other.nodeID)
		}
		if other.name != vm.name {
			s.Peers = append(s.Peers, other.peer())
		}
	}
	if vm.nodeID != 0 {
		s.Roles = append(s.Roles, settings.RoleControl)
		s.NodeID = vm.nodeID
		s.DataDir = filepath.Join(p.Dir, "data", vm.name)
	}
	return s
}
