/**
 * Messages to a control: operators' requests and their responses, also when a control forwards them to the master, and
 * reports of other nodes. Every schema is applied where its message arrives and nowhere else.
 */
import { z } from 'zod';

/** A request of an operator: HTTP method, URL path and body text. */
export const OperatorRequest = z.object({
  method: z.string(),
  path: z.string(),
  body: z.string(),
});
/** A request of an operator: HTTP method, URL path and body text. */
export type OperatorRequest = z.infer<typeof OperatorRequest>;

/** The response to an operator: HTTP status, JSON body, and `retryAfter` in seconds where a retry may succeed. */
export const OperatorResponse = z.object({
  status: z.number(),
  body: z.unknown(),
  retryAfter: z.number().optional(),
});
/** The response to an operator: HTTP status, JSON body, and `retryAfter` in seconds where a retry may succeed. */
export type OperatorResponse = z.infer<typeof OperatorResponse>;

/**
 * A front's periodic report to the master: whether it reaches each server, the throughput of each as `pace` (work per
 * time, comparable only within a pool), and the slots that it has released, each with its ownership epoch.
 */
export const FrontReport = z.object({
  seen: z.array(
    z.object({ id: z.string(), url: z.string(), ok: z.boolean(), pace: z.number().optional() }),
  ),
  released: z.array(z.tuple([z.number(), z.number()])),
});
/** A front's periodic report to the master. */
export type FrontReport = z.infer<typeof FrontReport>;

/** A front announces that it is shutting down and is to be drained. */
export const DepartureNotice = z.object({ id: z.string() });

/** A store reports that it holds all items of a slot that it joins as a replica, synced under this ownership epoch. */
export const FilledNotice = z.object({
  store: z.string(),
  slot: z.number(),
  ownershipEpoch: z.number(),
});
/** A store reports that it holds all items of a slot that it joins as a replica. */
export type FilledNotice = z.infer<typeof FilledNotice>;

/** Kinds of the requests that a control serves on the internal protocol, in addition to those of zen. */
export const ControlRequestKind = {
  /** Requests the reading of the server list; no body. */
  list: 'control/list',
  /** An operator's request, forwarded to the master; `OperatorRequest`. */
  operate: 'control/operate',
  /** A front is shutting down; `DepartureNotice`. */
  depart: 'control/depart',
  /** A store holds all items of a slot that it joins; `FilledNotice`. */
  filled: 'control/filled',
} as const;
