/**
 * The settings of each program, with their limits and usual values. Their keys are those of settings files and flags.
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
  .refine(isAddress, { error: 'must be an IP number and a port, as in 10.0.0.1:7400' });

/** A time in ms. */
const ms = (least: number, most: number, usual: number) =>
  z.number().int().min(least).max(most).default(usual);

/** The outer bounds of a deployment, in ms, from which all other times follow. */
const Bounds = z
  .strictObject({
    serveWithin: ms(1000, 120000, 12000),
    inForceWithin: ms(100, 60000, 2000),
    drainingWithin: ms(300, 60000, 3000),
    heartbeatInterval: ms(20, 60000, 1000),
    failureTimeout: ms(60, 180000, 3000),
  })
  .prefault({});

/** What every program has. */
const Common = {
  zone: z.string().regex(/^[a-z0-9-]{1,64}$/, { error: 'must be a short lower-case name' }),
  http: addr,
  log: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  bounds: Bounds,
};
/** What every member of a cluster has. */
const Linked = {
  addr,
  listen: addr.optional(),
  name: z.string().max(200).default(''),
  seeds: z.array(addr).length(3, { error: 'must be three addresses' }),
};

/** Settings of a control; times in ms, sizes in bytes. `slots` and `losses` count only when a cluster is bootstrapped. */
export const ControlSettings = z.strictObject({
  ...Common,
  ...Linked,
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
/** Settings of one control, checked and complete. */
export type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a store; times in ms, sizes in bytes. */
export const StoreSettings = z.strictObject({
  ...Common,
  ...Linked,
  data: z.string().min(1),
  journalLongAt: z
    .number()
    .int()
    .min(65536)
    .default(32 << 20),
  retentionMs: z.number().int().min(60000).default(3600000),
  hintsMost: z.number().int().min(100).default(100000),
});
/** Settings of one store, checked and complete. */
export type StoreSettings = z.infer<typeof StoreSettings>;

/** Settings of the agent beside a proxy; times in ms. */
export const AgentSettings = z.strictObject({
  ...Common,
  ...Linked,
  proxy: addr,
  stopWithin: ms(100, 600000, 5000),
});
/** Settings of one agent, checked and complete. */
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
  stopWithin: ms(100, 600000, 5000),
});
/** Settings of one proxy, checked and complete. */
export type ProxySettings = z.infer<typeof ProxySettings>;
