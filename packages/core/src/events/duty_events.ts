/** Events of duties towards the cloud; a part of the event table. */
import type {EventEntry} from './event_entry';

export const DUTY_EVENTS = {
  'duty-claimed': {
    number: 800,
    level: 'info',
    meaning:
      'This node holds a duty towards the cloud that nobody held, or that it held before.',
  },
  'duty-taken-over': {
    number: 801,
    level: 'info',
    meaning: 'This node has taken over a duty from another node.',
  },
  'duty-released': {
    number: 802,
    level: 'info',
    meaning: 'This node has given up a duty at a planned stop.',
  },
  'duty-lost': {
    number: 803,
    level: 'warn',
    meaning: 'Another node holds a duty that this node held.',
  },
  'usage-written': {
    number: 810,
    level: 'info',
    meaning:
      'The counts of a window of usage are in the store and will not change.',
  },
  'usage-accepted': {
    number: 811,
    level: 'info',
    meaning: 'The cloud has accepted the report of a window of usage.',
  },
  'usage-late': {
    number: 812,
    level: 'warn',
    meaning: 'The report of a window of usage was accepted after its due time.',
  },
  'usage-refused': {
    number: 813,
    level: 'warn',
    meaning:
      'The cloud did not accept the report of a window of usage; unless the status is final, it is sent again.',
  },
} as const satisfies Record<string, EventEntry>;
