/** Operations that report on the cluster: its status, and its margin, which is how many further losses it tolerates. */
import { marginReport } from '@tillerstair/state';
import { statusReport } from '../cluster-reports.js';
import { defineOperation, noBody, readWithLiveNodes, type Operation } from './operation.js';

/** Operations of `/v1/margin` and `/v1/status`. */
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
