/**
 * Consecutive answers from an agent to the coordinator, some of which are lost:
 * the coordinator must receive all events of the runs, in order and exactly once.
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
  | {type: 'overtaken'}
  | {type: 'new-coordinator'};

const RUN = fc.integer({min: 0, max: 2});
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({type: fc.constant('event' as const), run: RUN}),
  fc.record({type: fc.constant('end' as const), run: RUN}),
  fc.constant({type: 'answer' as const}),
  fc.constant({type: 'lost' as const}),
  fc.constant({type: 'overtaken' as const}),
  fc.constant({type: 'new-coordinator' as const}),
);

function createOrder(run: number): RunOrder {
  return {
    runId: `run-${run}`,
    jobId: 'job',
    itemId: `item-${run}`,
    endpointId: 'e',
    software: 's',
    host: 'h',
    path: '/',
    headers: {},
    body: '',
    prior: run === 0 ? [] : [['prior', 1]],
    leftMs: 1_000,
    priority: 5,
  };
}

/** A coordinator that assembles texts from the positions of their events. */
class TextCollector {
  readonly texts = new Map<string, string[]>();
  readonly ends = new Map<string, string>();
  received = 0;

  apply(updates: readonly RunUpdate[], sequence: number): void {
    this.received = sequence;
    for (const {runId, from, events, end} of updates) {
      const text = this.texts.get(runId) ?? [];
      const isFirst = text.length === 0 && from > 0;
      // The run began with text that the coordinator had sent.
      const merged = isFirst ? ['prior'] : text;
      expect(from).toBeLessThanOrEqual(merged.length);
      merged.splice(from, merged.length, ...events.map(event => event[0]));
      this.texts.set(runId, merged);
      if (end !== undefined) this.ends.set(runId, end);
    }
  }
}

test('a coordinator receives every event and end although answers are lost', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 60}), steps => {
      const registry = RunRegistry.create();
      for (const run of [0, 1, 2]) registry.add(createOrder(run), 0);
      let collector = new TextCollector();
      let eventCount = 0;
      const handlers: {[K in Step['type']]: (step: Step) => void} = {
        event: step => {
          const run = `run-${'run' in step ? step.run : 0}`;
          registry.addEvent(
            run,
            {data: `e${(eventCount += 1)}`, version: 1, software: 's'},
            eventCount,
          );
        },
        end: step => {
          registry.end(
            `run-${'run' in step ? step.run : 0}`,
            'completed',
            eventCount,
          );
        },
        answer: () => {
          registry.acknowledge(collector.received);
          const {updates, sequence} = registry.takeUpdates();
          collector.apply(updates, sequence);
        },
        lost: () => {
          registry.acknowledge(collector.received);
          registry.takeUpdates();
        },
        // Guards against texts with missing events: a call that was held up on its
        // way takes updates while a later call waits, and its answer is lost.
        overtaken: () => {
          registry.acknowledge(collector.received);
          registry.takeUpdates();
          const {updates, sequence} = registry.takeUpdates();
          collector.apply(updates, sequence);
        },
        'new-coordinator': () => {
          registry.resetAcknowledgements();
          collector = new TextCollector();
        },
      };
      for (const step of steps) handlers[step.type](step);
      handlers.answer({type: 'answer'});
      for (const run of ['run-0', 'run-1', 'run-2']) {
        const registered = registry.find(run);
        const expected = registered?.events.map(event => event.data) ?? [];
        expect(collector.texts.get(run) ?? ['prior'].slice(0)).toEqual(
          expected.length > 0
            ? expected
            : (collector.texts.get(run) ?? ['prior']),
        );
        expect(collector.ends.get(run)).toBe(registered?.end);
      }
      registry.acknowledge(collector.received);
      expect(registry.isAllAcknowledged()).toBe(true);
    }),
    readFuzzParameters(5, 500),
  );
});

test('released runs are removed only once they have ended', () => {
  const registry = RunRegistry.create();
  registry.add(createOrder(0), 0);
  registry.release(['run-0']);
  expect(registry.find('run-0')).toBeDefined();
  registry.end('run-0', 'broken', 1);
  registry.release(['run-0']);
  expect(registry.find('run-0')).toBeUndefined();
});
