/**
 * A trainer for the load command: puts steps, pulls them whole, trains for a
 * while, and counts its idle time and the age of its samples.
 */
import {PULL_REPLY_SCHEMA, PullReply} from '@sassafrasspan/core';
import {waitMs} from '@sassafrasspan/runtime';
import {LoadTarget, makeCall} from './load_callers';

const PULL_WAIT_MS = 2_000;
const RETRY_MS = 200;

/** What a trainer does. */
export interface TrainerLoad {
  readonly trainer: string;
  readonly steps: number;
  readonly groups: number;
  readonly groupSize: number;
  readonly maxTokens: number;
  readonly scoring: string;
  readonly stalenessBound: number;
  /** Time that training on a step takes, in ms. */
  readonly trainMs: number;
  /** Version that the trainer is at when it starts. */
  readonly firstVersion: number;
  /** Whether a version is published after each step. */
  readonly isPublishing: boolean;
  readonly seed: number;
  /** Time after which a step is given up, in ms. */
  readonly stepTimeoutMs: number;
}

/** What a trainer has counted. */
export interface TrainerTally {
  readonly trainer: string;
  completedSteps: number;
  timedOutSteps: number;
  duplicateSamples: number;
  /** Slots of whole steps that failed for good. */
  failedSlots: number;
  idleMs: number;
  trainingMs: number;
  /** Age in versions of each sample at its delivery. */
  readonly sampleAges: number[];
  readonly errorCounts: Map<string, number>;
}

/** Runs a trainer through its steps. */
export async function runTrainer(
  target: LoadTarget,
  load: TrainerLoad,
): Promise<TrainerTally> {
  const tally: TrainerTally = {
    trainer: load.trainer,
    completedSteps: 0,
    timedOutSteps: 0,
    duplicateSamples: 0,
    failedSlots: 0,
    idleMs: 0,
    trainingMs: 0,
    sampleAges: [],
    errorCounts: new Map(),
  };
  for (let number = 1; number <= load.steps; number++) {
    const version = load.isPublishing
      ? load.firstVersion + number - 1
      : load.firstVersion;
    const startedMs = performance.now();
    const isWhole = await runStep(target, load, tally, number, version);
    tally.idleMs += performance.now() - startedMs;
    if (isWhole) tally.completedSteps += 1;
    else tally.timedOutSteps += 1;
    await waitMs(load.trainMs);
    tally.trainingMs += load.trainMs;
    if (load.isPublishing) await publishVersion(target, load, version + 1);
  }
  return tally;
}

async function publishVersion(
  target: LoadTarget,
  load: TrainerLoad,
  version: number,
): Promise<void> {
  const path = `/v1/trainers/${load.trainer}/versions`;
  const body = JSON.stringify({version, weightsKey: `load-${version}`});
  await makeCall(target, version, {method: 'POST', path, body});
}

function describeStep(load: TrainerLoad, number: number): string {
  const prompts = Array.from({length: load.groups}, (_, group) => ({
    prompt: `load ${load.seed} step ${number} group ${group}`,
    maxTokens: load.maxTokens,
  }));
  const {groupSize, scoring, stalenessBound} = load;
  return JSON.stringify({prompts, groupSize, scoring, stalenessBound});
}

/** Puts a step and pulls until it is whole; false when it was given up. */
async function runStep(
  target: LoadTarget,
  load: TrainerLoad,
  tally: TrainerTally,
  number: number,
  version: number,
): Promise<boolean> {
  const base = `/v1/trainers/${load.trainer}/steps/load-${load.seed}-${number}`;
  const body = describeStep(load, number);
  const deadlineMs = performance.now() + load.stepTimeoutMs;
  const slots = new Set<number>();
  let isPut = false;
  let cursor = '';
  for (let turn = 0; performance.now() < deadlineMs; turn++) {
    if (!isPut) {
      const call = {method: 'PUT', path: base, body};
      const answer = await makeCall(target, turn, call);
      isPut = answer.errorKind === '';
      if (!isPut) await recordError(tally, answer.errorKind);
      continue;
    }
    const query = `cursor=${cursor}&version=${version}&waitMs=${PULL_WAIT_MS}`;
    const path = `${base}/samples?${query}`;
    const call = {method: 'GET', path, body: undefined};
    const answer = await makeCall(target, turn, call);
    if (answer.errorKind !== '') {
      await recordError(tally, answer.errorKind);
      continue;
    }
    const reply = PULL_REPLY_SCHEMA.parse(JSON.parse(answer.text));
    cursor = encodeURIComponent(reply.cursor);
    recordSamples(tally, slots, reply, version);
    if (!reply.complete) continue;
    tally.failedSlots += reply.failed.length;
    return true;
  }
  return false;
}

async function recordError(tally: TrainerTally, kind: string): Promise<void> {
  tally.errorCounts.set(kind, (tally.errorCounts.get(kind) ?? 0) + 1);
  await waitMs(RETRY_MS);
}

function recordSamples(
  tally: TrainerTally,
  slots: Set<number>,
  reply: PullReply,
  version: number,
): void {
  for (const sample of reply.samples) {
    if (slots.has(sample.slot)) tally.duplicateSamples += 1;
    slots.add(sample.slot);
    const versions = sample.segments.map(segment => segment.version);
    tally.sampleAges.push(version - Math.min(...versions));
  }
}
