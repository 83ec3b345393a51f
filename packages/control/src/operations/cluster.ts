/** Operations that show the cluster: its status, and how many more losses it bears. */
import { marginReport } from '@tillerstair/state';
import { statusReport } from '../cluster-reports.js';
import { defineOperation, noBody, readWithLiveNodes, type Operation } from './operation.js';

/** `/v1/margin`, `/v1/status`. */
export const clusterOperations: readonly Operation[] = [
  defineOperation({
    method: 'GET',
    matches: ({ section }) => section === 'margin',
    authority: 'quorum-read',
    schema: noBody,
    handler: ({ master }) => readWithLiveNodes(master, ['control', 'store'], marginReport),
  }),
  defineOperation({
    method: 'GET',
    matches: ({ section }) => section === 'status',
    authority: 'quorum-read',
    schema: noBody,
    handler: ({ master }) => readWithLiveNodes(master, ['store'], statusReport),
  }),
];
