/**
 * The schema of a configuration file, with its defaults. Its keys are those of the file and of the compiled form; keys
 * that end in `Ms` are in milliseconds. Unknown keys are findings.
 */
import { array, boolean, number, object, string, type InferType } from 'yup';

/** The name of a pool or route. */
const name = () =>
  string()
    .strict()
    .matches(/^[a-z0-9][A-Za-z0-9._-]{0,199}$/, {
      message:
        '${path} must begin with a-z or 0-9 and contain only letters, digits, dots, dashes and underscores',
    })
    .required();

/** An integer within bounds, both inclusive. */
const integer = (min: number, max: number) => number().strict().integer().min(min).max(max);

/** A pool that takes a share of a route's requests, and the weight of the share. */
const Share = object({ pool: name(), share: number().strict().min(0).max(1e6).required() })
  .noUnknown()
  .strict();

/** How requests of a pass route are forwarded: attempts, time limits and retention. */
const PassRules = object({
  manner: string().strict().oneOf(['repeatable', 'once', 'keyed', 'stream']).required(),
  tries: integer(1, 100).default(1),
  deadlineMs: number().strict().moreThan(0).required(),
  aimMs: number().strict().min(0).default(0),
  rank: integer(0, 1000).default(0),
  turnRetentionMs: number().strict().min(0).default(0),
  resumable: boolean().strict().default(false),
  pauseMs: number().strict().min(0).default(0),
})
  .noUnknown()
  .strict();

/** Maps a kind of request, a host and a path to pools. */
const Route = object({
  name: name(),
  match: object({
    kind: string().strict().oneOf(['turn', 'call', 'pass']).required(),
    host: string()
      .strict()
      .matches(/^[a-z0-9.-]*$/, { message: '${path} must be a lower-case host name' })
      .default(''),
    path: string()
      .strict()
      .matches(/^\/[A-Za-z0-9/_.~%!$&'()*+,;=:@-]*$/, {
        message: '${path} must begin with / and hold plain characters',
      })
      .required(),
  })
    .noUnknown()
    .strict()
    .required(),
  acting: boolean().strict().default(false),
  urgent: boolean().strict().default(false),
  pass: PassRules.optional().default(undefined),
  shares: array().of(Share.required()).min(1).required(),
})
  .noUnknown()
  .strict();

/** Properties of the model servers of a pool: concurrent sequences, and the size of their prefix cache. */
const Engine = object({
  places: integer(1, 100000).required(),
  memoryTokens: number().strict().moreThan(0).required(),
  blockTokens: number().strict().moreThan(0).required(),
})
  .noUnknown()
  .strict();

/** A group of servers that do the same work. */
const Pool = object({
  name: name(),
  kind: string().strict().oneOf(['model', 'service']).required(),
  connections: integer(0, 1e6).default(0),
  remembersKeys: boolean().strict().default(false),
  check: string()
    .strict()
    .matches(/^(\/[!-~]*)?$/, { message: '${path} must be a path' })
    .default(''),
  engine: Engine.optional().default(undefined),
})
  .noUnknown()
  .strict();

/** Default limits of callers' requests. */
const defaultLimits = {
  headerBytes: 16384,
  bodyBytes: 1 << 22,
  headerWaitMs: 5000,
  idleMs: 60000,
} as const;

const defaultBudgets = { program: 100000, turn: 2000 } as const;
const defaultBounds = { turnMs: 60000, callMs: 5000, queue: 256, perServer: 16 } as const;

/** A configuration file: the version that it builds on, pools, routes and limits. */
export const ConfigFile = object({
  base: integer(0, Number.MAX_SAFE_INTEGER).required(),
  version: integer(1, Number.MAX_SAFE_INTEGER).optional(),
  origin: string().strict().optional(),
  changeId: string().strict().optional(),
  pools: array().of(Pool.required()).min(1).required(),
  routes: array().of(Route.required()).min(1).max(100000).required(),
  tuning: boolean().strict().default(true),
  budgets: object({
    program: integer(1, 1e9).default(defaultBudgets.program),
    turn: integer(1, 1e6).default(defaultBudgets.turn),
  })
    .noUnknown()
    .strict()
    .default(defaultBudgets),
  bounds: object({
    turnMs: integer(100, 3600000).default(defaultBounds.turnMs),
    callMs: integer(10, 600000).default(defaultBounds.callMs),
    queue: integer(1, 100000).default(defaultBounds.queue),
    perServer: integer(1, 10000).default(defaultBounds.perServer),
  })
    .noUnknown()
    .strict()
    .default(defaultBounds),
  limits: object({
    headerBytes: integer(1, 1 << 30).default(defaultLimits.headerBytes),
    bodyBytes: integer(1, 1 << 30).default(defaultLimits.bodyBytes),
    headerWaitMs: number().strict().moreThan(0).default(defaultLimits.headerWaitMs),
    idleMs: number().strict().moreThan(0).default(defaultLimits.idleMs),
  })
    .noUnknown()
    .strict()
    .default(defaultLimits),
})
  .noUnknown()
  .strict();

/** A checked configuration, with its defaults. */
export type Config = InferType<typeof ConfigFile>;
/** One route of a configuration. */
export type Route = Config['routes'][number];
