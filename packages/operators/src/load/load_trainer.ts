/**
 * A trainer for the load command: submits rollout steps, pulls samples until
 * each step is complete, simulates training, and measures its idle time and
 * the age of its samples.
 */
import {PULL_REPLY_SCHEMA, PullReply} from '@sassafrasspan/core';
import {waitMs} from '@sassafrasspan/runtime';
import {LoadTarget, makeCall} from './load_callers';

const PULL_WAIT_MS = 2_000;
const RETRY_MS = 200;

/** Parameters of a trainer. */
export interface TrainerLoad {
  readonly trainer: string;
  readonly steps: number;
  readonly groups: number;
  readonly groupSize: number;
  readonly maxTokens: number;
  readonly scoring: string;
  readonly stalenessBound: number;
  /** Simulated training time per step, in ms. */
  readonly trainMs: number;
  /** Weight version that the trainer starts with. */
  readonly firstVersion: number;
  /** Whether the trainer publishes a new version after each step. */
  readonly isPublishing: boolean;
  readonly seed: number;
  /** Time after which the trainer stops pulling a step, in ms. */
  readonly stepTimeoutMs: number;
}

/** Counts and times measured by a trainer. */
export interface TrainerTally {
  readonly trainer: string;
  completedSteps: number;
  timedOutSteps: number;
  duplicateSamples: number;
  /** Number of slots of completed steps that failed permanently. */
  failedSlots: number;
  /** Time spent waiting for steps to complete. */
  idleMs: number;
  trainingMs: number;
  /**
   * Age of each sample at delivery: how many versions the trainer is ahead of
   * the oldest version in the sample.
   */
  readonly sampleAges: number[];
  /** Number of failed calls by error kind. */
  readonly errorCounts: Map<string, number>;
}

/** Runs all steps of a trainer, one after the other. */
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
    const isComplete = await runStep(target, load, tally, number, version);
    tally.idleMs += performance.now() - startedMs;
    if (isComplete) tally.completedSteps += 1;
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

/** Returns the request body that submits a step. */
function describeStep(load: TrainerLoad, number: number): string {
  const prompts = Array.from({length: load.groups}, (_, group) => ({
    prompt: `load ${load.seed} step ${number} group ${group}`,
    maxTokens: load.maxTokens,
  }));
  const {groupSize, scoring, stalenessBound} = load;
  return JSON.stringify({prompts, groupSize, scoring, stalenessBound});
}

/**
 * Submits a step and pulls samples until it is complete; false when the step
 * timed out.
 */
async function runStep(
  target: LoadTarget,
  load: TrainerLoad,
  tally: TrainerTally,
  number: number,
  version: number,
): Promise<boolean> {
  const stepPath = `/v1/trainers/${load.trainer}/steps/load-${load.seed}-${number}`;
  const body = describeStep(load, number);
  const deadlineMs = performance.now() + load.stepTimeoutMs;
  const slots = new Set<number>();
  let isSubmitted = false;
  let cursor = '';
  for (let attempt = 0; performance.now() < deadlineMs; attempt++) {
    if (!isSubmitted) {
      const call = {method: 'PUT', path: stepPath, body};
      const answer = await makeCall(target, attempt, call);
      isSubmitted = answer.errorKind === '';
      if (!isSubmitted) await recordError(tally, answer.errorKind);
      continue;
    }
    const query = `cursor=${cursor}&version=${version}&waitMs=${PULL_WAIT_MS}`;
    const path = `${stepPath}/samples?${query}`;
    const call = {method: 'GET', path, body: undefined};
    const answer = await makeCall(target, attempt, call);
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

/** Counts a failed call and waits before the next attempt. */
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
