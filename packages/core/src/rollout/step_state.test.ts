import type {Sample} from './step_schemas';
import {StepState} from './step_state';

const DESCRIPTION = {
  prompts: [{prompt: 'p', maxTokens: 10}],
  groupSize: 4,
  scoring: 'score',
  stalenessBound: 3,
  temperature: 1,
};

function createState(ruleBound?: number): StepState {
  return StepState.create({
    trainer: 'briefs',
    step: 'step-1',
    customer: 'kyklos',
    service: 'briefing-lm',
    description: DESCRIPTION,
    stalenessBound: DESCRIPTION.stalenessBound,
    readRuleStalenessBound: () => ruleBound,
  });
}

function createSample(slot: number, version: number): Sample {
  const segments = [{version, from: 0, to: 1}];
  const position = {slot, group: 0, index: slot};
  return {...position, text: 'x', score: 0, finishReason: 'stop', segments};
}

function fillSlots(state: StepState, version: number, count = 4): void {
  for (let slot = 0; slot < count; slot++) {
    if (!state.needsCopy(slot)) continue;
    const {copyId} = state.startCopy(slot, 0);
    state.addSample(copyId, createSample(slot, version), 10);
  }
}

function pull(state: StepState, cursor: string, trainerVersion = 0) {
  const request = {cursor, trainerVersion, maxSamples: 2};
  return state.answerPull(state.openPull(request)._unsafeUnwrap());
}

function listMissing(state: StepState): number[] {
  return state.describeDemand(1, 0).missing.map(item => item.slot);
}

test('a restored trainer reopens slots, a single late pull does not', () => {
  const state = createState();
  fillSlots(state, 0);
  const first = pull(state, '');
  const second = pull(state, first.cursor);
  pull(state, second.cursor);
  const missing = [listMissing(state)];
  pull(state, first.cursor);
  missing.push(listMissing(state));
  pull(state, second.cursor);
  pull(state, first.cursor);
  missing.push(listMissing(state));
  pull(state, first.cursor);
  missing.push(listMissing(state));
  expect({missing, isAcknowledged: state.isAcknowledged()}).toMatchSnapshot();
});

test('repeated pulls with the same cursor return the same slots', () => {
  const state = createState();
  fillSlots(state, 0);
  const replies = [pull(state, ''), pull(state, ''), pull(state, '')];
  const slots = replies.map(reply => reply.samples.map(item => item.slot));
  expect(slots).toEqual([
    [0, 1],
    [0, 1],
    [0, 1],
  ]);
});

test('a pull open during a publication gets no stale samples', () => {
  const state = createState(1);
  const acceptedPull = state
    .openPull({cursor: '', trainerVersion: 1, maxSamples: 4})
    ._unsafeUnwrap();
  fillSlots(state, 1, 2);
  state.observeVersion(3);
  const {samples, droppedStale, version} = state.answerPull(acceptedPull);
  expect({samples, droppedStale, version}).toMatchSnapshot();
  expect(state.startCopy(0, 0).minVersion).toBe(2);
});

test('a permanently failed slot is reported and completes the step', () => {
  const state = createState();
  fillSlots(state, 0, 3);
  state.failSlot(state.startCopy(3, 0).copyId, 'quarantined');
  const first = pull(state, '');
  const last = pull(state, first.cursor);
  pull(state, last.cursor);
  const {complete, failed, delivered} = last;
  const isAcknowledged = state.isAcknowledged();
  expect({complete, failed, delivered, isAcknowledged}).toMatchSnapshot();
});

test('the first complete copy wins and the other is ended', () => {
  const state = createState();
  const first = state.startCopy(0, 0);
  const second = state.startCopy(0, 5);
  const wins = [state.addSample(second.copyId, createSample(0, 1), 10)];
  const obsolete = state.takeObsolete().map(copy => copy.copyId);
  wins.push(state.addSample(first.copyId, createSample(0, 0), 10));
  expect(wins).toEqual([true, false]);
  expect(obsolete).toEqual([first.copyId]);
  expect(state.countInFlight()).toBe(0);
});

test('the samples that become stale first are delivered first', () => {
  const state = createState();
  const versions = [7, 5, 6, 5];
  for (const [slot, version] of versions.entries()) {
    const {copyId} = state.startCopy(slot, 0);
    state.addSample(copyId, createSample(slot, version), 10);
  }
  const first = pull(state, '', 7);
  const second = pull(state, first.cursor, 7);
  const order = [first, second].flatMap(reply => reply.samples);
  expect(order.map(sample => sample.slot)).toEqual([1, 3, 2, 0]);
});

test('a fully sent step has no ready samples', () => {
  const state = createState();
  fillSlots(state, 0);
  const countReady = () => state.describeDemand(1, 0).ready;
  const counts = [countReady()];
  const first = pull(state, '');
  counts.push(countReady());
  pull(state, first.cursor);
  counts.push(countReady());
  expect(counts).toEqual([4, 4, 0]);
});
