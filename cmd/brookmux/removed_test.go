package main

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/scrapli/scrapligo/driver/opoptions"
	"github.com/stretchr/testify/require"

	"brookmux/internal/standin/loopback"
)

// TestRemovedExchangeIsReached guards against calls that were never released to their callers: after a restart the
// program did not connect to an exchange that was in service before and no longer configured, so the exchange could
// not send its releases.
func TestRemovedExchangeIsReached(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s *site, address string){
		"commit on trial": func(s *site, address string) {
			d := s.operator()
			s.requireOK(d.EditConfig("candidate", "<config>"+exchangesConfig(map[int]string{7: address})+"</config>"))
			s.requireOK(d.RPC(opoptions.WithFilter("<commit><confirmed/><persist>p</persist></commit>")))
			require.NoError(t, d.Close())
		},
		"removed before the restart": func(s *site, address string) {
			d := s.operator()
			s.requireOK(d.EditConfig("running", "<config>"+exchangesConfig(map[int]string{7: address})+"</config>"))
			s.requireOK(d.EditConfig("running", `<config><exchanges xmlns="urn:brookmux:exchanges" `+
				`xmlns:nc="urn:ietf:params:xml:ns:netconf:base:1.0" nc:operation="delete"/></config>`))
			require.NoError(t, d.Close())
		},
		"moved before the restart": func(s *site, address string) {
			d := s.operator()
			for _, a := range []string{address, "127.0.0.1:9"} {
				s.requireOK(d.EditConfig("running", "<config>"+exchangesConfig(map[int]string{7: a})+"</config>"))
			}
			require.NoError(t, d.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core, err := loopback.NewCore(100, time.Second)
			require.NoError(t, err)
			t.Cleanup(func() { core.Close() })
			exchange, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { exchange.Close() })
			s := newSite(t, []*loopback.Core{core})
			s.start()
			change(s, exchange.Addr().String())
			s.stop()

			connected := make(chan net.Conn, 64)
			go func() {
				for {
					conn, err := exchange.Accept()
					if err != nil {
						return
					}
					connected <- conn
				}
			}()
			s.start()
			defer s.stop()
			timeout := time.After(8 * time.Second)
			for {
				select {
				case conn := <-connected:
					// A connection of the ended process is at its end; one of the new process stays open.
					require.NoError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
					_, err := conn.Read(make([]byte, 1))
					if errors.Is(err, os.ErrDeadlineExceeded) {
						return
					}
				case <-timeout:
					require.Fail(t, "no connection to the exchange")
				}
			}
		})
	}
}
