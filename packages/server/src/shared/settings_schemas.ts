/** Schemas of the settings files of entries, agents and operators. */
import {DEFAULT_HTTP_LIMITS} from '@sassafrasspan/runtime';
import {z} from 'zod';

const DEFAULT_BUDGET_MS = 30_000;
const DEFAULT_MAX_OPEN = 2_000;
const DEFAULT_SLOTS = 8;
const DEFAULT_MAX_QUEUED = 64;
const DEFAULT_FETCHES_PER_S = 4;
const MAX_PORT = 65_535;

const NAME = z.string().min(1).describe('a name');
const HTTP_URL = z
  .url({protocol: /^https?$/})
  .describe('a URL that begins with http:// or https://');
const DURATION_MS = z
  .number()
  .int()
  .positive()
  .describe('a positive whole number of milliseconds, without a unit');
const BYTES = z
  .number()
  .int()
  .positive()
  .describe('a positive whole number of bytes, without a unit');
const COUNT = z.number().int().positive().describe('a positive whole number');
const PORT = z
  .number()
  .int()
  .min(0)
  .max(MAX_PORT)
  .describe('a port from 0 to 65535; 0 selects any free port');

/** Schema of an address that a process listens on. */
export const LISTEN_SCHEMA = z
  .strictObject({
    host: z.string().min(1).describe('an IP address to listen on'),
    port: PORT,
  })
  .describe('an address to listen on: {host: 10.0.0.1, port: 4000}');

const PLATFORM_SCHEMA = z
  .strictObject({objectsUrl: HTTP_URL, vmsUrl: HTTP_URL})
  .describe('a mapping of objectsUrl and vmsUrl');

const ROLE = z.enum(['entry', 'agent']).describe('entry or agent');

const SEED_SCHEMA = z.strictObject({
  name: NAME,
  role: ROLE,
  failureDomain: NAME,
  /** Host and port of the node's peer server. */
  address: z
    .string()
    .regex(/^.+:\d+$/)
    .describe('host:port of the peers address of a node'),
});

const LOG_SCHEMA = z.strictObject({
  level: z
    .enum(['debug', 'info', 'warn', 'error'])
    .describe('debug, info, warn or error')
    .default('info'),
});

const LIMITS_SCHEMA = z
  .strictObject({
    maxHeaderBytes: BYTES.default(DEFAULT_HTTP_LIMITS.maxHeaderBytes),
    maxBodyBytes: BYTES.default(DEFAULT_HTTP_LIMITS.maxBodyBytes),
    headersTimeoutMs: DURATION_MS.default(DEFAULT_HTTP_LIMITS.headersTimeoutMs),
    requestTimeoutMs: DURATION_MS.default(DEFAULT_HTTP_LIMITS.requestTimeoutMs),
    /** Maximum number of callers' requests that an entry has open at once. */
    maxOpenRequests: COUNT.default(DEFAULT_MAX_OPEN),
    /** Time budget of a request whose caller sets none, in ms. */
    defaultBudgetMs: DURATION_MS.default(DEFAULT_BUDGET_MS),
  })
  .refine(limits => limits.headersTimeoutMs <= limits.requestTimeoutMs, {
    path: ['headersTimeoutMs'],
    error: 'expected at most requestTimeoutMs',
  });

const NODE_FIELDS = {
  name: NAME,
  failureDomain: NAME,
  /** Address for other nodes of the system. */
  peers: LISTEN_SCHEMA,
  /** Address for operators and for health checks of the load balancer. */
  operators: LISTEN_SCHEMA,
  platform: PLATFORM_SCHEMA,
  seeds: z.array(SEED_SCHEMA).describe('a list of nodes').default([]),
  log: LOG_SCHEMA.prefault({}),
};

/** Schema of an entry's settings. */
export const ENTRY_SETTINGS_SCHEMA = z.strictObject({
  ...NODE_FIELDS,
  role: z.literal('entry'),
  /** Address for serving callers and trainers. */
  callers: LISTEN_SCHEMA,
  scoring: z
    .array(z.strictObject({name: NAME, url: HTTP_URL}))
    .describe('a list of scoring services, each a mapping of name and url')
    .default([]),
  limits: LIMITS_SCHEMA.prefault({}),
});

export type EntrySettings = z.infer<typeof ENTRY_SETTINGS_SCHEMA>;

const ENDPOINT_SCHEMA = z.strictObject({
  name: NAME,
  service: NAME,
  kind: z.enum(['engine', 'plain']).describe('engine or plain'),
  url: HTTP_URL,
  /** Maximum number of requests that the endpoint runs at once. */
  slots: COUNT.default(DEFAULT_SLOTS),
  maxQueued: COUNT.default(DEFAULT_MAX_QUEUED),
  /** Whether the endpoint rejects orders with an old fencing number. */
  fencing: z
    .enum(['checks', 'ignores'])
    .describe('checks or ignores')
    .default('checks'),
});

export type EndpointSettings = z.infer<typeof ENDPOINT_SCHEMA>;

/** Schema of an agent's settings. */
export const AGENT_SETTINGS_SCHEMA = z.strictObject({
  ...NODE_FIELDS,
  role: z.literal('agent'),
  /** The rate-limited weight store; needed before engines can swap. */
  weightStore: z
    .strictObject({
      url: HTTP_URL,
      fetchesPerSecond: z
        .number()
        .positive()
        .describe('a positive number of fetches')
        .default(DEFAULT_FETCHES_PER_S),
    })
    .optional(),
  /** Address from which the engines of this VM download weights. */
  weights: LISTEN_SCHEMA.default({host: '127.0.0.1', port: 0}),
  /** Agents that store weights on a disk. */
  weightHolders: z
    .array(z.strictObject({name: NAME, failureDomain: NAME}))
    .describe('a list of agents, each a mapping of name and failureDomain')
    .default([]),
  /** Folder for bulk data, on a VM with a disk. */
  dataFolder: z.string().min(1).describe('a folder').optional(),
  endpoints: z
    .array(ENDPOINT_SCHEMA)
    .min(1)
    .describe('a list of at least one endpoint'),
});

export type AgentSettings = z.infer<typeof AGENT_SETTINGS_SCHEMA>;

/** Schema of the settings of the operators' commands. */
export const OPERATORS_SETTINGS_SCHEMA = z.strictObject({
  role: z.literal('operators'),
  platform: PLATFORM_SCHEMA,
  /** URLs of nodes' operators' pages. */
  nodes: z.array(HTTP_URL).describe('a list of URLs').default([]),
  /** Port of the operators' pages of the nodes that the VM list names. */
  operatorsPort: PORT.min(1).optional(),
});

/** Settings of the operators' commands. */
export type OperatorsSettings = z.infer<typeof OPERATORS_SETTINGS_SCHEMA>;

/** Settings of any node. */
export type NodeSettings = EntrySettings | AgentSettings;

/** Schema of each role's settings file. */
export const SETTINGS_SCHEMAS = {
  entry: ENTRY_SETTINGS_SCHEMA,
  agent: AGENT_SETTINGS_SCHEMA,
  operators: OPERATORS_SETTINGS_SCHEMA,
} as const;

/** Role of the process that a settings file is for. */
export type SettingsRole = keyof typeof SETTINGS_SCHEMAS;

/** Returns whether a value is the name of a role. */
export function isSettingsRole(value: unknown): value is SettingsRole {
  return typeof value === 'string' && Object.hasOwn(SETTINGS_SCHEMAS, value);
}
