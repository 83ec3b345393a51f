/**
 * What is sent to a control: the operators' requests and their responses, also when a control forwards them to the
 * master, and the reports of other nodes. Every schema is applied where its message arrives and nowhere else.
 */
import { z } from 'zod';

/** A request of an operator: an HTTP method, the path of a URL, and the text of the body. */
export const OperatorRequest = z.object({
  method: z.string(),
  path: z.string(),
  body: z.string(),
});
/** A request of an operator: an HTTP method, the path of a URL, and the text of the body. */
export type OperatorRequest = z.infer<typeof OperatorRequest>;

/** The answer to an operator: an HTTP status, a body for JSON, and `retryAfter` in seconds where a retry may help. */
export const OperatorResponse = z.object({
  status: z.number(),
  body: z.unknown(),
  retryAfter: z.number().optional(),
});
/** The answer to an operator: an HTTP status, a body for JSON, and `retryAfter` in seconds where a retry may help. */
export type OperatorResponse = z.infer<typeof OperatorResponse>;

/**
 * A front's periodic report to the master: whether it reaches each server and at which pace (work per time, compared
 * only within a pool), and the slots that it has released with the ownership epoch of each.
 */
export const FrontReport = z.object({
  seen: z.array(
    z.object({ id: z.string(), url: z.string(), ok: z.boolean(), pace: z.number().optional() }),
  ),
  released: z.array(z.tuple([z.number(), z.number()])),
});
/** A front's periodic report to the master. */
export type FrontReport = z.infer<typeof FrontReport>;

/** A front says that it shuts down and is to be drained. */
export const DepartureNotice = z.object({ id: z.string() });

/** A store says that it holds all of a slot that it was named to join, synced under this ownership epoch. */
export const FilledNotice = z.object({
  store: z.string(),
  slot: z.number(),
  ownershipEpoch: z.number(),
});
/** A store says that it holds all of a slot that it was named to join. */
export type FilledNotice = z.infer<typeof FilledNotice>;

/** The kinds of the requests that a control serves on the inner wire, beside those of zen. */
export const ControlRequestKind = {
  /** Its reading of the list of servers; no body. */
  list: 'control/list',
  /** An operator's request for the master, `OperatorRequest`. */
  operate: 'control/operate',
  /** A front shuts down, `DepartureNotice`. */
  depart: 'control/depart',
  /** A store holds all of a slot that it joins, `FilledNotice`. */
  filled: 'control/filled',
} as const;
