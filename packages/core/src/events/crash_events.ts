/** Events of requests that may crash endpoints; a part of the event table. */
import type {EventEntry} from './event_entry';

export const CRASH_EVENTS = {
  'attempt-unanswered': {
    number: 220,
    level: 'info',
    meaning:
      'An attempt that may have run ended without a complete answer.',
  },
} as const satisfies Record<string, EventEntry>;
