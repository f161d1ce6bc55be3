/** Events of requests that may crash endpoints; a part of the event table. */
import type {EventEntry} from './event_entry';

export const CRASH_EVENTS = {
  'attempt-unanswered': {
    number: 220,
    level: 'info',
    meaning: 'An attempt that may have run ended without a complete answer.',
  },
  'endpoint-ended': {
    number: 221,
    level: 'warn',
    meaning:
      'An endpoint has ended, by `proof`, while requests had no answer; it implicates `requests` of them.',
  },
  'request-implicated': {
    number: 222,
    level: 'warn',
    meaning:
      'An endpoint crashed while it ran a request; `crashes` of them count against it.',
  },
  'crash-records-merged': {
    number: 223,
    level: 'info',
    meaning:
      'What another node knows of crashing requests, from a `source`: the node itself or the store.',
  },
  'request-cleared': {
    number: 224,
    level: 'info',
    meaning:
      'A request under which endpoints had crashed was answered, and is sound.',
  },
  'item-held': {
    number: 227,
    level: 'warn',
    meaning:
      'An item of a batch job is held, or released, since endpoints have crashed under it.',
  },
  'trial-claimed': {
    number: 225,
    level: 'info',
    meaning:
      'A quarantined request is sent once more, or `isGranted` is false: another node does so, or the store does not answer.',
  },
  'crash-records-stored': {
    number: 226,
    level: 'info',
    meaning:
      'The records of crashing requests are in the store, or `detail` says why not.',
  },
} as const satisfies Record<string, EventEntry>;
