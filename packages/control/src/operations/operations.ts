/**
 * The operations that a master executes for operators, and the selection of one by method and path.
 *
 * Each operation defines the schema of its body, the authority that its response needs, and its handler. Operations
 * that a control answers by itself (authority `none`) are in `local-operations.ts`.
 */
import type { MasterView } from '@tillerstair/zen';
import type { OperatorRequest, OperatorResponse } from '../messages.js';
import { clusterOperations } from './cluster.js';
import { configurationOperations } from './configuration.js';
import { parsePath, type Operation, type OperatorPath } from './operation.js';
import { HttpStatus, refused } from './responses.js';
import { retirementOperations } from './retirement.js';
import { serverOperations } from './servers.js';
import { votingControlOperations } from './voting-controls.js';

/** All operations that a master executes. */
const operations: readonly Operation[] = [
  ...configurationOperations,
  ...serverOperations,
  ...retirementOperations,
  ...votingControlOperations,
  ...clusterOperations,
];

/** Path whose operations change nothing although they are requested by POST. */
const preparePath = '/v1/config/prepare';

/** Whether a request never changes anything, whatever its outcome. */
export const isReadOnly = ({ method, path }: OperatorRequest): boolean =>
  method === 'GET' || path === preparePath;

/** Whether a path answers 405 to a method without an operation; any other path answers 404. */
const reportsUnsupportedMethods = ({ section, id }: OperatorPath): boolean =>
  (section === 'config' && id === '') || (section === 'servers' && id !== '');

/** Executes an operator's request on the master. */
export const operate = async (
  master: MasterView,
  { method, path, body }: OperatorRequest,
): Promise<OperatorResponse> => {
  const target = parsePath(path);
  if (target.version !== 'v1') return refused(HttpStatus.notFound, 'no-such-page', path);
  const operation = operations.find(
    (candidate) => candidate.method === method && candidate.matches(target),
  );
  if (operation) return operation.handle(master, target, body);
  return reportsUnsupportedMethods(target)
    ? refused(HttpStatus.methodNotAllowed, 'no-such-operation', `${method} ${path}`)
    : refused(HttpStatus.notFound, 'no-such-page', path);
};
