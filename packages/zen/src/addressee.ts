/**
 * Requests that carry the id of their receiver (docs/zen.md, "Fence"): a control that lost its disk returns at the same
 * address with a new id, and must not be counted as the voter that it was before.
 */
import type { Member } from '@tillerstair/state';
import { ElectionError, type RpcRequest } from '@tillerstair/wire';
import { AddressedRequest } from './messages.js';

const addressedKinds: ReadonlySet<string> = new Set([
  'zen/validate',
  'zen/publish',
  'zen/commit',
  'zen/node-ping',
]);

/**
 * Throws `other-node` if the request carries a receiver id other than this node's. `learn` is called with the sender of
 * each request that carries a receiver id, even if the request is rejected.
 */
export const requireAddressee = (
  localMember: Member,
  request: RpcRequest,
  learn: (from: Member) => void,
): void => {
  if (!addressedKinds.has(request.kind)) return;
  const { from, to } = AddressedRequest.parse(request.body);
  learn(from);
  if (to !== localMember.id)
    throw new ElectionError(
      'other-node',
      `${request.kind} is for another node, ${to}; this node is ${localMember.id}`,
    );
};
