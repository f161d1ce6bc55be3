/** Events of memory, capacity and scarcity; a part of the event table. */
import type {EventEntry} from './event_entry';

export const LOAD_EVENTS = {
  'memory-level-changed': {
    number: 230,
    level: 'warn',
    meaning:
      'The bytes held for callers have passed a limit: `normal`, `soft` (requests are refused) or `hard` (connections are cut).',
  },
  'connection-cut': {
    number: 231,
    level: 'warn',
    meaning:
      'A connection whose caller did not read or send was cut to release memory.',
  },
  'answer-dropped': {
    number: 236,
    level: 'warn',
    meaning:
      'An answer was not read on since its endpoint, at `source`, held most of the memory for answers that arrive; the call fails there.',
  },
  'connections-closed': {
    number: 232,
    level: 'warn',
    meaning:
      'Connections of clients were closed since the last such line of the port: `count` of them, by `reason`. The reason is what the connection did when it gave way to another one (`unstarted`, `idle`, `body`, `answer`), `full` if none could give way, `pipelined` for too many open requests, `lagging` for a client that was behind for too long; `maxWaitedMs` is the longest time without progress.',
  },
  'client-limits': {
    number: 235,
    level: 'info',
    meaning:
      'The limits on connections at the start of a process, by use, and the limit on descriptors from which they follow.',
  },
  'port-failed': {
    number: 233,
    level: 'error',
    meaning: 'A server could not accept connections; it goes on listening.',
  },
  'memory-not-measured': {
    number: 234,
    level: 'warn',
    meaning:
      'The memory of the process could not be measured; the last measurement holds on. At most once until a measurement succeeds.',
  },
  'capacity-changed': {
    number: 209,
    level: 'info',
    meaning:
      'The estimate of how much load an endpoint takes well has changed materially; at most once in 10 s for each endpoint.',
  },
  'scarcity-began': {
    number: 525,
    level: 'warn',
    meaning:
      'Endpoints cannot complete the groups that trainers wait for before their run deadlines: `chosenGroups` of the `neededGroups` start first; `possibleItems` of the `neededItems` that wait can end in time.',
  },
  'scarcity-ended': {
    number: 526,
    level: 'info',
    meaning:
      'Endpoints can complete all groups that trainers wait for again, or the steps concerned have ended; the figures are those of the last plan.',
  },
} as const satisfies Record<string, EventEntry>;
