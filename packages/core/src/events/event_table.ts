/**
 * The numbered log events of the system.
 *
 * A log line carries the number and the name of one of these events. Numbers
 * are never reused. docs/EVENTS.md lists them and is checked against this
 * table by a test.
 */

import {CRASH_EVENTS} from './crash_events';
import {DUTY_EVENTS} from './duty_events';
import type {EventEntry} from './event_entry';
import {LOAD_EVENTS} from './load_events';

/** Events by name. */
export const EVENTS = {
  'process-started': {
    number: 100,
    level: 'info',
    meaning: 'A process has read its settings and is listening.',
  },
  'process-ready': {
    number: 101,
    level: 'info',
    meaning: 'The process has rules and accepts work.',
  },
  'process-draining': {
    number: 102,
    level: 'info',
    meaning: 'The process accepts no new work and finishes its current work.',
  },
  'process-stopped': {
    number: 103,
    level: 'info',
    meaning: 'The process has finished its work and is exiting.',
  },
  'process-fault': {
    number: 104,
    level: 'error',
    meaning: 'An unexpected error occurred.',
  },
  'metrics-not-served': {
    number: 105,
    level: 'error',
    meaning: 'The process cannot listen on the address for metrics.',
  },
  'entry-closing': {
    number: 106,
    level: 'info',
    meaning:
      'A stopping entry accepts no further requests; it exits once the `passedOn` ones are answered.',
  },
  'process-warning': {
    number: 107,
    level: 'warn',
    meaning: 'The runtime has issued a warning.',
  },
  'request-refused': {
    number: 200,
    level: 'info',
    meaning: 'A request was rejected before it was dispatched.',
  },
  'request-dispatched': {
    number: 201,
    level: 'info',
    meaning: 'A request was sent to an agent.',
  },
  'request-retried': {
    number: 202,
    level: 'info',
    meaning: 'A request was dispatched again after a failure.',
  },
  'request-answered': {
    number: 203,
    level: 'info',
    meaning: 'A complete answer was sent.',
  },
  'request-failed': {
    number: 204,
    level: 'warn',
    meaning: 'A request ended with an error after it was dispatched.',
  },
  'answer-resumed': {
    number: 205,
    level: 'info',
    meaning: 'An answer was resumed over a new connection.',
  },
  'request-quarantined': {
    number: 206,
    level: 'warn',
    meaning:
      'A request that crashes endpoints was quarantined and is rejected from now on.',
  },
  'endpoint-limited': {
    number: 207,
    level: 'warn',
    meaning:
      'An endpoint states a limit, or another one than before: `perSecond` requests of all nodes together.',
  },
  'endpoint-unlimited': {
    number: 208,
    level: 'info',
    meaning: 'An endpoint states no limit any more.',
  },
  'run-started': {
    number: 210,
    level: 'info',
    meaning: 'An agent sent a request to its endpoint.',
  },
  'run-refused': {
    number: 211,
    level: 'info',
    meaning: 'An agent rejected a request without running it.',
  },
  'run-ended': {
    number: 212,
    level: 'info',
    meaning: 'An endpoint finished its answer.',
  },
  'endpoint-crashed': {
    number: 213,
    level: 'warn',
    meaning: 'An endpoint aborted the requests that it was running.',
  },
  'run-stopped': {
    number: 214,
    level: 'info',
    meaning: 'An agent stopped a run.',
  },
  'sync-overtaken': {
    number: 215,
    level: 'info',
    meaning:
      'An agent refused a sync call since it knows a later one of the coordinator: it was held up on its way. `after` is the number of the last answer that the call acknowledges.',
  },
  'peer-found': {
    number: 300,
    level: 'info',
    meaning: 'A peer was found and is being watched.',
  },
  'peer-lost': {
    number: 301,
    level: 'warn',
    meaning: 'No heartbeat of a peer arrived in time.',
  },
  'endpoint-leaving': {
    number: 302,
    level: 'info',
    meaning:
      'An endpoint is leaving and receives no new work, by its registration or by its answer to a request.',
  },
  'endpoint-gone': {
    number: 303,
    level: 'info',
    meaning: 'The registration of an endpoint expired and was not renewed.',
  },
  'endpoint-rejected': {
    number: 304,
    level: 'warn',
    meaning: 'The registration of an endpoint is invalid and was ignored.',
  },
  'home-changed': {
    number: 305,
    level: 'info',
    meaning: 'The node received the record of a new coordinator of batch jobs.',
  },
  'home-claimed': {
    number: 306,
    level: 'info',
    meaning: 'This node has become the coordinator of batch jobs.',
  },
  'home-lost': {
    number: 307,
    level: 'warn',
    meaning: 'This node is no longer the coordinator of batch jobs.',
  },
  'agent-found': {
    number: 308,
    level: 'info',
    meaning: 'The coordinator can reach an agent.',
  },
  'agent-lost': {
    number: 309,
    level: 'warn',
    meaning:
      'An agent does not answer the coordinator; its runs move to other agents.',
  },
  'vm-retired': {
    number: 310,
    level: 'info',
    meaning: 'A storage VM that is being retired holds no more data.',
  },
  'rules-in-force': {
    number: 400,
    level: 'info',
    meaning: 'A newer rules revision is active in this process.',
  },
  'rules-rejected': {
    number: 401,
    level: 'error',
    meaning: 'A rules revision is invalid and was not applied.',
  },
  'configuration-in-force': {
    number: 402,
    level: 'info',
    meaning: 'A newer configuration of routes is active in this process.',
  },
  'configuration-rejected': {
    number: 403,
    level: 'error',
    meaning: 'A configuration of routes is invalid and was not applied.',
  },
  'settings-reloaded': {
    number: 404,
    level: 'info',
    meaning: 'The settings file was reloaded and applied.',
  },
  'settings-rejected': {
    number: 405,
    level: 'error',
    meaning:
      'The settings file is invalid; the previous settings remain active.',
  },
  'step-opened': {
    number: 500,
    level: 'info',
    meaning: 'An entry has opened a rollout step.',
  },
  'step-complete': {
    number: 501,
    level: 'info',
    meaning: 'A trainer has received every sample of a step.',
  },
  'sample-stale': {
    number: 502,
    level: 'info',
    meaning: 'A sample was too old for its trainer and was dropped.',
  },
  'sample-recovered': {
    number: 503,
    level: 'info',
    meaning:
      'The new owner of a step recovered a finished answer from an agent.',
  },
  'sample-failed': {
    number: 504,
    level: 'warn',
    meaning: 'A sample could not be generated or scored and will be retried.',
  },
  'job-accepted': {
    number: 510,
    level: 'info',
    meaning: 'A batch job was accepted and stored.',
  },
  'job-ended': {
    number: 511,
    level: 'info',
    meaning: 'A trainer has ended a batch job.',
  },
  'job-end-unconfirmed': {
    number: 519,
    level: 'warn',
    meaning:
      'The end of a batch job is stored, but not acknowledged: another node may be the coordinator.',
  },
  'job-adopted': {
    number: 512,
    level: 'info',
    meaning: 'A new coordinator has resumed a batch job from the store.',
  },
  'results-listed': {
    number: 513,
    level: 'info',
    meaning: 'Results were appended to the log of a batch job.',
  },
  'job-refused': {
    number: 514,
    level: 'info',
    meaning: 'A batch job was rejected; none of its items runs.',
  },
  'item-started': {
    number: 515,
    level: 'info',
    meaning: 'The coordinator sent an item of a batch job to an agent.',
  },
  'job-call-failed': {
    number: 517,
    level: 'warn',
    meaning: "A trainer's call on a batch job failed.",
  },
  'checkpoint-unread': {
    number: 518,
    level: 'warn',
    meaning:
      'A new coordinator could not read the saved progress (checkpoint) of jobs; some items restart from the beginning.',
  },
  'run-update-rejected': {
    number: 509,
    level: 'warn',
    meaning:
      "An agent's update of a run can't be read; the run is given up and its item retried.",
  },
  'job-removed': {
    number: 516,
    level: 'info',
    meaning: 'A batch job was removed from the store after its retention time.',
  },
  'scoring-started': {
    number: 520,
    level: 'info',
    meaning:
      "The coordinator called for the score of an item's complete text; `call` is the id of that request.",
  },
  'item-scored': {
    number: 521,
    level: 'info',
    meaning: 'The score of an item was received.',
  },
  'scoring-retried': {
    number: 522,
    level: 'info',
    meaning: 'A scoring call gave no score and will be repeated.',
  },
  'scoring-given-up': {
    number: 523,
    level: 'warn',
    meaning: 'A scoring call failed too often; the item is dead.',
  },
  'scoring-unroutable': {
    number: 524,
    level: 'warn',
    meaning:
      'A scoring call has no route or an invalid body; its item waits without a score.',
  },
  'version-published': {
    number: 600,
    level: 'info',
    meaning: 'A trainer has published a weight version.',
  },
  'swap-started': {
    number: 601,
    level: 'info',
    meaning: 'An agent ordered its model engine to load a weight version.',
  },
  'swap-finished': {
    number: 602,
    level: 'info',
    meaning: 'An engine runs the ordered weight version.',
  },
  'swap-failed': {
    number: 603,
    level: 'error',
    meaning:
      'A swap failed; the agent reads the actual version from the engine.',
  },
  'fencing-gained': {
    number: 604,
    level: 'info',
    meaning: 'An agent holds a new fencing number for its endpoint.',
  },
  'fencing-lost': {
    number: 605,
    level: 'warn',
    meaning: 'Another agent holds a newer fencing number.',
  },
  'swap-dropped': {
    number: 606,
    level: 'info',
    meaning:
      'An agent dropped an order that it had not sent yet, since a coordinator of a later epoch has taken over.',
  },
  'platform-down': {
    number: 700,
    level: 'warn',
    meaning: 'The object API does not answer.',
  },
  'store-path-up': {
    number: 702,
    level: 'info',
    meaning: 'The node reaches the object API directly again.',
  },
  'store-call-relayed': {
    number: 703,
    level: 'info',
    meaning: 'Another node relayed a call to the object API for this node.',
  },
  'platform-up': {
    number: 701,
    level: 'info',
    meaning: 'The object API answers again.',
  },
  ...CRASH_EVENTS,
  ...DUTY_EVENTS,
  ...LOAD_EVENTS,
} as const satisfies Record<string, EventEntry>;

/** Name of a listed event. */
export type EventName = keyof typeof EVENTS;
