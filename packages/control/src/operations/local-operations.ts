/** Operations that any control answers by itself, without a master and without a majority (authority `none`). */
import { checkConfig, type NodeView } from '@tillerstair/state';
import type { OperatorRequest, OperatorResponse } from '../messages.js';
import { HttpStatus, succeeded } from './responses.js';

interface LocalOperation {
  readonly method: string;
  readonly path: string;
  readonly authority: 'none';
  readonly handle: (localView: () => NodeView, body: string) => OperatorResponse;
}

/** Table of the operations that any control answers by itself. */
const localOperations: readonly LocalOperation[] = [
  {
    method: 'GET',
    path: '/v1/view',
    authority: 'none',
    handle: (localView) => succeeded(localView()),
  },
  {
    method: 'POST',
    path: '/v1/config/check',
    authority: 'none',
    handle: (_localView, body) => {
      const { findings } = checkConfig(body);
      return {
        status: findings.length > 0 ? HttpStatus.unprocessable : HttpStatus.ok,
        body: { findings },
      };
    },
  },
];

/** Response to a request that any control answers by itself; undefined for any other request. */
export const operateLocally = (
  { method, path, body }: OperatorRequest,
  localView: () => NodeView,
): OperatorResponse | undefined =>
  localOperations
    .find((operation) => operation.method === method && operation.path === path)
    ?.handle(localView, body);
