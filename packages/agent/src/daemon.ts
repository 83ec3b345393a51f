/** Command line of the `front-agent` program. */
import { AgentSettings, runDaemon } from '@tillerstair/settings';
import { startAgent } from './start.js';

void runDaemon({
  name: 'front-agent',
  description: 'Maintains the control link of the local front-proxy and feeds it over loopback.',
  schema: AgentSettings,
  flags: [
    ['addr', 'Address of this agent for other nodes, IP:PORT'],
    ['listen', 'Address to bind, if different from --addr'],
    ['proxy', 'Loopback address at which the proxy receives its feed'],
    ['http', 'HTTP address of /live and /ready'],
    ['zone', 'Zone of this machine'],
    ['name', 'Name that operators may use for this node'],
    ['seeds', 'Three seed addresses, comma-separated'],
    ['log', 'Log level: debug, info, warn or error'],
  ],
  start: (settings) => startAgent(settings),
});
