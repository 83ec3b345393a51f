/**
 * Requests that name the node they are for (docs/zen.md, "Fence"): a control that lost its disk comes back at its address
 * as another node, and must not be counted as the voter that it was.
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
 * Throws `other-node` if the request names another node than this one. The sender of a request that names a node is
 * handed to `learn` first, also if the request is refused.
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
    throw new ElectionError('other-node', `${to} is another node, this is ${localMember.id}`);
};
