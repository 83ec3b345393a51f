/**
 * Schemas of the settings of each program, with limits and default values. The keys are those of settings files and
 * command-line flags.
 */
import { isIP } from 'node:net';
import { z } from 'zod';

const maxPort = 65535;

const isAddress = (text: string): boolean => {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(colon + 1));
  const isPort = Number.isInteger(port) && port > 0 && port <= maxPort;
  return colon > 0 && isIP(host) !== 0 && isPort;
};

const addr = z
  .string()
  .refine(isAddress, { error: 'must be an IP address and a port, such as 10.0.0.1:7400' });

/** A duration in whole milliseconds between `min` and `max`. */
const ms = (min: number, max: number, defaultMs: number) =>
  z.number().int().min(min).max(max).default(defaultMs);

/** Time bounds of a deployment, in ms; all other timeouts and intervals are derived from them. */
const Bounds = z
  .strictObject({
    serveWithin: ms(1000, 120000, 12000),
    inForceWithin: ms(100, 60000, 2000),
    drainingWithin: ms(300, 60000, 3000),
    heartbeatInterval: ms(20, 60000, 1000),
    failureTimeout: ms(60, 180000, 3000),
  })
  .prefault({});

/** Settings of every program. */
const Common = {
  zone: z
    .string()
    .regex(/^[a-z0-9-]{1,64}$/, { error: 'must be 1 to 64 lower-case letters, digits or hyphens' }),
  http: addr,
  log: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  bounds: Bounds,
  /** Memory that the process may use, in MB; what it keeps for callers is bounded by it. The host's by default. */
  memoryMb: z.number().int().min(64).optional(),
};
/** Settings of every program that joins the cluster. */
const ClusterMember = {
  addr,
  listen: addr.optional(),
  name: z.string().max(200).default(''),
  seeds: z.array(addr).length(3, { error: 'must be three addresses' }),
};

/**
 * Settings of a control; times in ms, sizes in bytes. `slots` (number of slots) and `losses` (simultaneous losses to
 * tolerate) are used only when a cluster is bootstrapped.
 */
export const ControlSettings = z.strictObject({
  ...Common,
  ...ClusterMember,
  data: z.string().min(1),
  slots: z.number().int().min(8).max(4096).default(64),
  losses: z.number().int().min(1).max(7).default(1),
  mayBootstrap: z.boolean().default(true),
  journalLongAt: z
    .number()
    .int()
    .min(65536)
    .default(4 << 20),
});
/** Validated settings of a control, with defaults filled in. */
export type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a store; times in ms, sizes in bytes. */
export const StoreSettings = z.strictObject({
  ...Common,
  ...ClusterMember,
  data: z.string().min(1),
  journalLongAt: z
    .number()
    .int()
    .min(65536)
    .default(32 << 20),
  retentionMs: z.number().int().min(60000).default(3600000),
  requiredRetentionMs: z.number().int().min(1000).optional(),
  hintsMost: z.number().int().min(100).default(100000),
});
/** Validated settings of a store, with defaults filled in. */
export type StoreSettings = z.infer<typeof StoreSettings>;

/** Settings of the agent of a proxy; times in ms. */
export const AgentSettings = z.strictObject({
  ...Common,
  ...ClusterMember,
  proxy: addr,
  stopWithin: ms(100, 600000, 5000),
});
/** Validated settings of an agent, with defaults filled in. */
export type AgentSettings = z.infer<typeof AgentSettings>;

/** Settings of a proxy; times in ms, sizes in bytes. */
export const ProxySettings = z.strictObject({
  ...Common,
  addr,
  listen: addr.optional(),
  feed: addr,
  bodyMost: z
    .number()
    .int()
    .min(1024)
    .default(1 << 20),
  affinity: z.boolean().default(true),
  asksServers: z.boolean().default(true),
  retentionMs: z.number().int().min(60000).default(3600000),
  requiredRetentionMs: z.number().int().min(1000).optional(),
  stopWithin: ms(100, 600000, 5000),
});
/** Validated settings of a proxy, with defaults filled in. */
export type ProxySettings = z.infer<typeof ProxySettings>;
