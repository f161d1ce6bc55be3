/** Schemas of the settings files of entries and agents. */
import {DEFAULT_HTTP_LIMITS} from '@sassafrasspan/runtime';
import {z} from 'zod';

const DEFAULT_BUDGET_MS = 30_000;
const DEFAULT_MAX_OPEN = 2_000;
const DEFAULT_SLOTS = 8;
const DEFAULT_MAX_QUEUED = 64;
const DEFAULT_FETCHES_PER_S = 4;
const MAX_PORT = 65_535;

const NAME = z.string().min(1);
const HTTP_URL = z.url({protocol: /^https?$/, error: 'an http:// URL'});

/** Schema of an address that a process listens on. */
export const LISTEN_SCHEMA = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(0).max(MAX_PORT),
});

const PLATFORM_SCHEMA = z.strictObject({
  objectsUrl: HTTP_URL,
  vmsUrl: HTTP_URL,
});

const SEED_SCHEMA = z.strictObject({
  name: NAME,
  role: z.enum(['entry', 'agent']),
  failureDomain: NAME,
  /** Host and port of the node's peer server. */
  address: z.string().regex(/^.+:\d+$/, 'host:port'),
});

const LOG_SCHEMA = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const LIMITS_SCHEMA = z.strictObject({
  maxHeaderBytes: z
    .number()
    .int()
    .positive()
    .default(DEFAULT_HTTP_LIMITS.maxHeaderBytes),
  maxBodyBytes: z
    .number()
    .int()
    .positive()
    .default(DEFAULT_HTTP_LIMITS.maxBodyBytes),
  headersTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(DEFAULT_HTTP_LIMITS.headersTimeoutMs),
  requestTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(DEFAULT_HTTP_LIMITS.requestTimeoutMs),
  /** Requests of callers that an entry holds open at once. */
  maxOpenRequests: z.number().int().positive().default(DEFAULT_MAX_OPEN),
  /** Time for a request whose caller states none, in ms. */
  defaultBudgetMs: z.number().int().positive().default(DEFAULT_BUDGET_MS),
});

const NODE_FIELDS = {
  name: NAME,
  failureDomain: NAME,
  /** Address for other nodes of the system. */
  peers: LISTEN_SCHEMA,
  /** Address for operators and the balancer's checks. */
  operators: LISTEN_SCHEMA,
  platform: PLATFORM_SCHEMA,
  seeds: z.array(SEED_SCHEMA).default([]),
  log: LOG_SCHEMA.prefault({}),
};

/** Schema of an entry's settings. */
export const ENTRY_SETTINGS_SCHEMA = z.strictObject({
  ...NODE_FIELDS,
  role: z.literal('entry'),
  /** Address for serving callers and trainers. */
  callers: LISTEN_SCHEMA,
  scoring: z.array(z.strictObject({name: NAME, url: HTTP_URL})).default([]),
  limits: LIMITS_SCHEMA.prefault({}),
});

/** An entry's settings. */
export type EntrySettings = z.infer<typeof ENTRY_SETTINGS_SCHEMA>;

const ENDPOINT_SCHEMA = z.strictObject({
  name: NAME,
  service: NAME,
  kind: z.enum(['engine', 'plain']),
  url: HTTP_URL,
  /** Requests that the endpoint runs at once. */
  slots: z.number().int().positive().default(DEFAULT_SLOTS),
  maxQueued: z.number().int().positive().default(DEFAULT_MAX_QUEUED),
  /** Whether the endpoint refuses orders with an old fencing number. */
  fencing: z.enum(['checks', 'ignores']).default('checks'),
});

/** Settings of one endpoint. */
export type EndpointSettings = z.infer<typeof ENDPOINT_SCHEMA>;

/** Schema of an agent's settings. */
export const AGENT_SETTINGS_SCHEMA = z.strictObject({
  ...NODE_FIELDS,
  role: z.literal('agent'),
  /** The rate-limited weight store; needed before engines can swap. */
  weightStore: z
    .strictObject({
      url: HTTP_URL,
      fetchesPerSecond: z.number().positive().default(DEFAULT_FETCHES_PER_S),
    })
    .optional(),
  /** Address from which the engines of this VM take weights. */
  weights: LISTEN_SCHEMA.default({host: '127.0.0.1', port: 0}),
  /** Agents that keep weights on a disk, by name. */
  weightHolders: z
    .array(z.strictObject({name: NAME, failureDomain: NAME}))
    .default([]),
  /** Folder for bulk data, on a VM with a disk. */
  dataFolder: z.string().min(1).optional(),
  endpoints: z.array(ENDPOINT_SCHEMA).min(1),
});

/** An agent's settings. */
export type AgentSettings = z.infer<typeof AGENT_SETTINGS_SCHEMA>;

/** Settings of any node. */
export type NodeSettings = EntrySettings | AgentSettings;

/** Schema of a settings file of either role. */
export const NODE_SETTINGS_SCHEMA = z.discriminatedUnion('role', [
  ENTRY_SETTINGS_SCHEMA,
  AGENT_SETTINGS_SCHEMA,
]);
