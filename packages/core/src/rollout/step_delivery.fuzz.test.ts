/**
 * Fuzzes the delivery of rollout steps over two entries: owners move or
 * restart; pulls are repeated, delayed, lost or reordered; both copies of a
 * slot finish; versions are published while samples wait; trainers are
 * restored from checkpoints. The oracle sees only what the trainer sees.
 */
import fc from 'fast-check';
import {
  CreateStepOwner,
  RolloutSimulation,
  StepOwner,
  SIMULATED_STEP,
  readFuzzParameters,
} from '../testing';
import {isStale} from './sample_checks';
import {StepOptions, StepState} from './step_state';

const SEED = 4_301;
const RUNS = 400;
const MAX_COMMANDS = 60;
const PULL_GAP_MS = 150;

const OPTIONS: StepOptions = {
  trainer: 'briefs',
  step: 'step-1',
  customer: 'kyklos',
  service: 'briefing-lm',
  description: SIMULATED_STEP,
  stalenessBound: SIMULATED_STEP.stalenessBound,
  readRuleStalenessBound: () => undefined,
};

/** A command that changes the simulation. */
class SimulationCommand implements fc.Command<object, RolloutSimulation> {
  private constructor(
    private readonly label: string,
    private readonly apply: (simulation: RolloutSimulation) => void,
  ) {}

  static create(
    label: string,
    apply: (simulation: RolloutSimulation) => void,
  ): SimulationCommand {
    return new SimulationCommand(label, apply);
  }

  check(): boolean {
    return true;
  }

  run(_model: object, simulation: RolloutSimulation): void {
    this.apply(simulation);
  }

  // eslint-disable-next-line house/verb -- fast-check prints commands by it
  toString(): string {
    return this.label;
  }
}

const ENTRY = fc.nat({max: 1});
const VIEW = fc.tuple(fc.boolean(), fc.boolean());
const FAULTS = fc.record({
  minDelayMs: fc.constant(1),
  maxDelayMs: fc.constantFrom(5, 300, 2_000),
  dropShare: fc.constantFrom(0, 0.1, 0.4),
  duplicateShare: fc.constantFrom(0, 0.3),
});

/** Maps values to commands whose label shows the value in counterexamples. */
function mapCommand<T>(
  label: string,
  values: fc.Arbitrary<T>,
  apply: (simulation: RolloutSimulation, value: T) => void,
): fc.Arbitrary<SimulationCommand> {
  return values.map(value =>
    SimulationCommand.create(`${label}(${JSON.stringify(value)})`, simulation =>
      apply(simulation, value),
    ),
  );
}

const COMMANDS = [
  mapCommand('pull', ENTRY, (simulation, entry) => simulation.sendPull(entry)),
  mapCommand('advance', fc.integer({min: 1, max: 900}), (simulation, ms) =>
    simulation.advanceMs(ms),
  ),
  mapCommand(
    'pullSome',
    fc.array(ENTRY, {maxLength: 8}),
    (simulation, entries) => {
      for (const entry of entries) {
        simulation.sendPull(entry);
        simulation.advanceMs(PULL_GAP_MS);
      }
    },
  ),
  mapCommand(
    'repeat',
    fc.tuple(fc.nat(), ENTRY),
    (simulation, [pullIndex, entry]) => simulation.repeatPull(pullIndex, entry),
  ),
  mapCommand('restart', ENTRY, (simulation, entry) =>
    simulation.restartEntry(entry),
  ),
  mapCommand('move', fc.tuple(ENTRY, VIEW), (simulation, [entry, view]) =>
    simulation.setAliveEntries(entry, view),
  ),
  mapCommand('copies', ENTRY, (simulation, entry) =>
    simulation.startCopies(entry),
  ),
  mapCommand(
    'publish',
    fc.tuple(fc.integer({min: 1, max: 2}), fc.nat({max: 400})),
    (simulation, [step, delayMs]) => simulation.publishVersion(step, delayMs),
  ),
  mapCommand('faults', FAULTS, (simulation, faults) =>
    simulation.setFaults(faults),
  ),
  mapCommand('save', fc.constant(0), simulation => simulation.saveCheckpoint()),
  mapCommand('restore', fc.constant(0), simulation =>
    simulation.restoreCheckpoint(),
  ),
];

/** Returns 'clean', or the violations found with the counterexample. */
function runFuzzer(createOwner: CreateStepOwner): string {
  const property = fc.property(
    fc.nat(),
    fc.commands(COMMANDS, {maxCommands: MAX_COMMANDS}),
    (seed, commands) => {
      const simulation = RolloutSimulation.create(seed, createOwner);
      fc.modelRun(() => ({model: {}, real: simulation}), commands);
      simulation.finishStep();
      const violations = simulation.listViolations();
      if (violations.length > 0) throw new Error(violations.join(', '));
    },
  );
  const result = fc.check(property, readFuzzParameters(SEED, RUNS));
  if (!result.failed) return 'clean';
  const {message} = result.errorInstance as Error;
  return `${message}\n${fc.defaultReportMessage(result)}`;
}

/** Forwards all calls to the real step state. */
function createStateAdapter(state: StepState): StepOwner {
  return {
    describeDemand: (weight, nowMs) => state.describeDemand(weight, nowMs),
    startCopy: (slot, nowMs) => state.startCopy(slot, nowMs),
    needsCopy: slot => state.needsCopy(slot),
    countInFlight: () => state.countInFlight(),
    failCopy: (copyId, atMs) => state.failCopy(copyId, atMs),
    takeObsolete: () => state.takeObsolete(),
    observeVersion: version => state.observeVersion(version),
    addSample: (copyId, sample, tokens) =>
      state.addSample(copyId, sample, tokens),
    openPull: request => state.openPull(request),
    answerPull: pull => state.answerPull(pull),
  };
}

test('each slot is received exactly once and is never stale', () => {
  expect(runFuzzer(() => StepState.create(OPTIONS))).toBe('clean');
});

/** Uses a cursor stored at the owner instead of the trainer's cursor. */
function createServerCursor(): StepOwner {
  const owner = createStateAdapter(StepState.create(OPTIONS));
  let cursor = '';
  return {
    ...owner,
    openPull: request => owner.openPull({...request, cursor}),
    answerPull: pull => {
      const reply = owner.answerPull(pull);
      cursor = reply.cursor;
      return reply;
    },
  };
}

test('control: a cursor stored at the owner is detected', () => {
  const report = runFuzzer(createServerCursor);
  expect(report).toMatch(/received twice|never received/);
});

/** Checks staleness when a sample is finished instead of at delivery. */
function createEarlyCheck(): StepOwner {
  const unchecked = {...OPTIONS, stalenessBound: Number.MAX_SAFE_INTEGER};
  const owner = createStateAdapter(StepState.create(unchecked));
  let newestVersion = 0;
  return {
    ...owner,
    observeVersion: version => {
      newestVersion = Math.max(newestVersion, version);
      owner.observeVersion(version);
    },
    addSample: (copyId, sample, tokens) => {
      if (!isStale(sample, newestVersion, OPTIONS.stalenessBound)) {
        return owner.addSample(copyId, sample, tokens);
      }
      owner.failCopy(copyId, 0);
      return false;
    },
  };
}

test('control: a staleness check before delivery is detected', () => {
  expect(runFuzzer(createEarlyCheck)).toContain('over the bound');
});
