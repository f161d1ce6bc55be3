/**
 * The chain of answers from an agent to its home, with answers that are lost:
 * the home ends with all that the runs have made, in order and once.
 */
import fc from 'fast-check';
import {readFuzzParameters} from '../testing';
import {RunRegistry} from './run_registry';
import type {RunOrder, RunUpdate} from './run_messages';

type Step =
  | {type: 'event'; run: number}
  | {type: 'end'; run: number}
  | {type: 'answer'}
  | {type: 'lost'}
  | {type: 'home'};

const RUN = fc.integer({min: 0, max: 2});
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({type: fc.constant('event' as const), run: RUN}),
  fc.record({type: fc.constant('end' as const), run: RUN}),
  fc.constant({type: 'answer' as const}),
  fc.constant({type: 'lost' as const}),
  fc.constant({type: 'home' as const}),
);

function createOrder(run: number): RunOrder {
  return {
    runId: `run-${run}`,
    jobId: 'job',
    itemId: `item-${run}`,
    endpointId: 'e',
    host: 'h',
    path: '/',
    headers: {},
    body: '',
    prior: run === 0 ? [] : [['prior', 1]],
    leftMs: 1_000,
    priority: 5,
  };
}

/** A home that keeps texts by the numbers of their events. */
class TextKeeper {
  readonly texts = new Map<string, string[]>();
  readonly ends = new Map<string, string>();
  received = 0;

  take(updates: readonly RunUpdate[], sequence: number): void {
    this.received = sequence;
    for (const {runId, from, events, end} of updates) {
      const text = this.texts.get(runId) ?? [];
      const isFirst = text.length === 0 && from > 0;
      // A run that began with text that the home has sent.
      const known = isFirst ? ['prior'] : text;
      expect(from).toBeLessThanOrEqual(known.length);
      known.splice(from, known.length, ...events.map(event => event[0]));
      this.texts.set(runId, known);
      if (end !== undefined) this.ends.set(runId, end);
    }
  }
}

test('a home receives every event and end, whichever answers are lost', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 60}), steps => {
      const book = RunRegistry.create();
      for (const run of [0, 1, 2]) book.add(createOrder(run), 0);
      let keeper = new TextKeeper();
      let made = 0;
      const handlers: {[K in Step['type']]: (step: Step) => void} = {
        event: step => {
          const run = `run-${'run' in step ? step.run : 0}`;
          book.addEvent(run, {data: `e${(made += 1)}`, version: 1}, made);
        },
        end: step => {
          book.end(`run-${'run' in step ? step.run : 0}`, 'completed', made);
        },
        answer: () => {
          book.acknowledge(keeper.received);
          const {updates, sequence} = book.takeUpdates();
          keeper.take(updates, sequence);
        },
        lost: () => {
          book.acknowledge(keeper.received);
          book.takeUpdates();
        },
        home: () => {
          book.resetAcknowledgements();
          keeper = new TextKeeper();
        },
      };
      for (const step of steps) handlers[step.type](step);
      handlers.answer({type: 'answer'});
      for (const run of ['run-0', 'run-1', 'run-2']) {
        const booked = book.find(run);
        const expected = booked?.events.map(event => event.data) ?? [];
        expect(keeper.texts.get(run) ?? ['prior'].slice(0)).toEqual(
          expected.length > 0 ? expected : (keeper.texts.get(run) ?? ['prior']),
        );
        expect(keeper.ends.get(run)).toBe(booked?.end);
      }
      book.acknowledge(keeper.received);
      expect(book.isAllAcknowledged()).toBe(true);
    }),
    readFuzzParameters(5, 500),
  );
});

test('released runs are forgotten only when they have ended', () => {
  const book = RunRegistry.create();
  book.add(createOrder(0), 0);
  book.release(['run-0']);
  expect(book.find('run-0')).toBeDefined();
  book.end('run-0', 'broken', 1);
  book.release(['run-0']);
  expect(book.find('run-0')).toBeUndefined();
});
