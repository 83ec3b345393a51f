/** Command line of the `front-proxy` program. */
import { ProxySettings, runDaemon } from '@tillerstair/settings';
import { startProxy } from './start.js';

void runDaemon({
  name: 'front-proxy',
  description:
    'Serves callers, places turns and enforces budgets. Receives the cluster state from its local front-agent.',
  schema: ProxySettings,
  flags: [
    ['addr', 'Address of this front for other fronts, IP:PORT'],
    ['listen', 'Address to bind, if different from --addr'],
    ['feed', 'Loopback address that receives the feed of the agent'],
    ['http', 'HTTP address for callers'],
    ['zone', 'Zone of this machine'],
    ['affinity', 'Prefer servers that have the prefix of a turn cached: true or false'],
    ['log', 'Log level: debug, info, warn or error'],
  ],
  start: (settings) => startProxy(settings),
});
