/** The command line of the program `front-proxy`. */
import { ProxySettings, runDaemon } from '@tillerstair/settings';
import { startProxy } from './start.js';

void runDaemon({
  name: 'front-proxy',
  description: 'Serves callers, places turns, holds budgets. Fed by the front-agent beside it.',
  schema: ProxySettings,
  flags: [
    ['addr', 'Own address for other fronts, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['feed', 'Loopback address where the agent feeds this front'],
    ['http', "Address of the callers' HTTP"],
    ['zone', 'Zone of this machine'],
    ['affinity', 'Place turns where their prefix is warm: true or false'],
    ['log', 'debug, info, warn or error'],
  ],
  start: (settings) => startProxy(settings),
});
