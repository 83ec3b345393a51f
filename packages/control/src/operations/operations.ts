/**
 * The table of the operations that a master carries out for operators, and the choice of one by method and path.
 *
 * Each entry names the schema of its body, the authority that its answer needs and its handler. What a control answers
 * by itself (authority `none`) is in `local-operations.ts`.
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

/** Every operation that a master carries out. */
const operations: readonly Operation[] = [
  ...configurationOperations,
  ...serverOperations,
  ...retirementOperations,
  ...votingControlOperations,
  ...clusterOperations,
];

/** The path whose operations alter nothing though they are asked for by POST. */
const preparePath = '/v1/config/prepare';

/** Whether a request alters nothing, however it ends. */
export const isReadOnly = ({ method, path }: OperatorRequest): boolean =>
  method === 'GET' || path === preparePath;

/** Pages that exist and say so to a method that they lack; any other page is then not found. */
const namesItsMethods = ({ section, id }: OperatorPath): boolean =>
  (section === 'config' && id === '') || (section === 'servers' && id !== '');

/** Carries an operator's request out on the master. */
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
  return namesItsMethods(target)
    ? refused(HttpStatus.methodNotAllowed, 'no-such-operation', `${method} ${path}`)
    : refused(HttpStatus.notFound, 'no-such-page', path);
};
