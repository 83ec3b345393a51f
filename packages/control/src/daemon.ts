/** Command line of the program `control-node`. */
import { ControlSettings, runDaemon } from '@tillerstair/settings';
import { startControl } from './start.js';

void runDaemon({
  name: 'control-node',
  description:
    "Keeps the cluster state, can be elected master, serves the operators' HTTP interface.",
  schema: ControlSettings,
  flags: [
    ['addr', 'Own address, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['http', "Address of the operators' HTTP"],
    ['zone', 'Zone of this machine'],
    ['name', 'Name operators may use for this node'],
    ['seeds', 'Three addresses, comma-separated'],
    ['data', 'Data folder'],
    ['slots', 'Number of slots, used at bootstrap only'],
    ['log', 'debug, info, warn or error'],
  ],
  start: (settings) => startControl(settings),
});
