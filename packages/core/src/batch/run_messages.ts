/**
 * Messages between the home of batch jobs and the agents that run items.
 *
 * A home follows each agent by a chain of `sync` calls. An answer carries what
 * is new since the answer that the call acknowledges; a home of a later epoch
 * gets every run with its whole text, so that it can go on where the earlier
 * one was lost.
 */
import * as z from 'zod/mini';

/** Schema of an event, short since it is sent most. */
export const EVENT_SCHEMA = z.tuple([z.string(), z.number()]);

/** Schema of an order to run an item. */
export const RUN_ORDER_SCHEMA = z.object({
  runId: z.string(),
  jobId: z.string(),
  itemId: z.string(),
  /** Endpoint that must run it; another at its address refuses. */
  endpointId: z.string(),
  host: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  /** Text that is there already; the run goes on after it. */
  prior: z.array(EVENT_SCHEMA),
  /** Time for the run, in ms. */
  leftMs: z.number(),
  /** Rank at the endpoint, 0 is the most urgent. */
  priority: z.number(),
});

/** Schema of an order to load a weight version. */
export const LOAD_ORDER_SCHEMA = z.object({
  endpointId: z.string(),
  model: z.string(),
  version: z.number(),
  /** Epoch of the home that orders it, won from the store. */
  fencingNumber: z.number(),
  /** Whether runs end under the version before; else they go on. */
  finishesRuns: z.boolean(),
});

/** Schema of what a home tells an agent to do. */
export const AGENT_COMMANDS_SCHEMA = z.object({
  home: z.string(),
  epoch: z.number(),
  /** Last tick of the agent that the home has seen; old commands are void. */
  tick: z.number(),
  starts: z.array(RUN_ORDER_SCHEMA),
  stops: z.array(z.string()),
  loads: z.array(LOAD_ORDER_SCHEMA),
});

/** Schema of a call that follows an agent. */
export const SYNC_CALL_SCHEMA = z.object({
  home: z.string(),
  epoch: z.number(),
  /** Number of the last answer that was received; 0 for none. */
  after: z.number(),
  /** Runs whose results are safe and that may be forgotten. */
  releases: z.array(z.string()),
  waitMs: z.number(),
  /** Whether the home knows nothing of the agent's runs, or gave them up. */
  isAnew: z.boolean(),
});

/** Schema of news of a run. */
export const RUN_UPDATE_SCHEMA = z.object({
  runId: z.string(),
  jobId: z.string(),
  itemId: z.string(),
  endpointId: z.string(),
  /** Events that were there when the run began. */
  firstEvent: z.number(),
  /** Number of the first event of this update. */
  from: z.number(),
  events: z.array(EVENT_SCHEMA),
  end: z.optional(
    z.enum([
      'completed',
      'impossible',
      'failed',
      'not-run',
      'broken',
      'stopped',
    ]),
  ),
});

/** Schema of what an agent knows of its engine. */
export const ENGINE_STATE_SCHEMA = z.object({
  isReachable: z.boolean(),
  /** Weight version of each model. */
  versions: z.record(z.string(), z.number()),
  /** Whether an order is under way. */
  isBusy: z.boolean(),
  running: z.number(),
  waiting: z.number(),
  /** Tokens in memory that cannot yield. */
  memoryUsed: z.number(),
});

/** Schema of an answer to a call that follows an agent. */
export const SYNC_ANSWER_SCHEMA = z.object({
  /** Newest epoch that the agent has heard of. */
  epoch: z.number(),
  incarnation: z.string(),
  /** The agent's monotonic clock, in ms. */
  tick: z.number(),
  /** Number of this answer. */
  sequence: z.number(),
  updates: z.array(RUN_UPDATE_SCHEMA),
  engine: ENGINE_STATE_SCHEMA,
});

/** Schema of what an agent says of the home that it last heard from. */
export const COORDINATOR_CONTACT_SCHEMA = z.object({
  epoch: z.number(),
  /** Time since the home was last in contact, in ms. */
  agoMs: z.number(),
});

export type RunOrder = z.infer<typeof RUN_ORDER_SCHEMA>;
export type LoadOrder = z.infer<typeof LOAD_ORDER_SCHEMA>;
export type AgentCommands = z.infer<typeof AGENT_COMMANDS_SCHEMA>;
export type SyncCall = z.infer<typeof SYNC_CALL_SCHEMA>;
export type RunUpdate = z.infer<typeof RUN_UPDATE_SCHEMA>;
export type EngineState = z.infer<typeof ENGINE_STATE_SCHEMA>;
export type SyncAnswer = z.infer<typeof SYNC_ANSWER_SCHEMA>;
export type CoordinatorContactReport = z.infer<
  typeof COORDINATOR_CONTACT_SCHEMA
>;
