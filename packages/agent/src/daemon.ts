/** The command line of the program `front-agent`. */
import { AgentSettings, runDaemon } from '@tillerstair/settings';
import { startAgent } from './start.js';

void runDaemon({
  name: 'front-agent',
  description: 'Keeps the control link of the front-proxy beside it and feeds it over loopback.',
  schema: AgentSettings,
  flags: [
    ['addr', 'Own address, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['proxy', 'Loopback address where the proxy takes its feed'],
    ['http', 'Address of /live and /ready'],
    ['zone', 'Zone of this machine'],
    ['name', 'Name operators may use for this node'],
    ['seeds', 'Three addresses, comma-separated'],
    ['log', 'debug, info, warn or error'],
  ],
  start: (settings) => startAgent(settings),
});
