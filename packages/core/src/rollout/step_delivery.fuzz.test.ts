/**
 * Fuzzes rollout steps over two entries: homes that move or die, pulls that
 * are repeated, late, lost or reordered, second copies that both finish,
 * versions published while samples wait, trainers restored from checkpoints.
 * The oracle sees what the trainer sees.
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
  readRuleBound: () => undefined,
};

/** Something that happens to the world. */
class WorldCommand implements fc.Command<object, RolloutSimulation> {
  private constructor(
    private readonly label: string,
    private readonly apply: (world: RolloutSimulation) => void,
  ) {}

  static create(
    label: string,
    apply: (world: RolloutSimulation) => void,
  ): WorldCommand {
    return new WorldCommand(label, apply);
  }

  check(): boolean {
    return true;
  }

  run(_model: object, world: RolloutSimulation): void {
    this.apply(world);
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

/** Turns values into a command that shows them in a counterexample. */
function mapCommand<T>(
  label: string,
  values: fc.Arbitrary<T>,
  apply: (world: RolloutSimulation, value: T) => void,
): fc.Arbitrary<WorldCommand> {
  return values.map(value =>
    WorldCommand.create(`${label}(${JSON.stringify(value)})`, world =>
      apply(world, value),
    ),
  );
}

const COMMANDS = [
  mapCommand('pull', ENTRY, (world, entry) => world.sendPull(entry)),
  mapCommand('advance', fc.integer({min: 1, max: 900}), (world, ms) =>
    world.advanceMs(ms),
  ),
  mapCommand('pullSome', fc.array(ENTRY, {maxLength: 8}), (world, entries) => {
    for (const entry of entries) {
      world.sendPull(entry);
      world.advanceMs(PULL_GAP_MS);
    }
  }),
  mapCommand('repeat', fc.tuple(fc.nat(), ENTRY), (world, [which, entry]) =>
    world.repeatPull(which, entry),
  ),
  mapCommand('restart', ENTRY, (world, entry) => world.restartEntry(entry)),
  mapCommand('move', fc.tuple(ENTRY, VIEW), (world, [entry, view]) =>
    world.setAliveEntries(entry, view),
  ),
  mapCommand('copies', ENTRY, (world, entry) => world.startCopies(entry)),
  mapCommand(
    'publish',
    fc.tuple(fc.integer({min: 1, max: 2}), fc.nat({max: 400})),
    (world, [step, delayMs]) => world.publishVersion(step, delayMs),
  ),
  mapCommand('faults', FAULTS, (world, faults) => world.setFaults(faults)),
  mapCommand('save', fc.constant(0), world => world.saveCheckpoint()),
  mapCommand('restore', fc.constant(0), world => world.restoreCheckpoint()),
];

/** Runs the fuzzer with a home; returns what the oracle reports. */
function runFuzzer(createHome: CreateStepOwner): string {
  const property = fc.property(
    fc.nat(),
    fc.commands(COMMANDS, {maxCommands: MAX_COMMANDS}),
    (seed, commands) => {
      const world = RolloutSimulation.create(seed, createHome);
      fc.modelRun(() => ({model: {}, real: world}), commands);
      world.finishStep();
      const violations = world.listViolations();
      if (violations.length > 0) throw new Error(violations.join(', '));
    },
  );
  const result = fc.check(property, readFuzzParameters(SEED, RUNS));
  if (!result.failed) return 'clean';
  const {message} = result.errorInstance as Error;
  return `${message}\n${fc.defaultReportMessage(result)}`;
}

/** Passes everything on to a state of the product. */
function copyState(state: StepState): StepOwner {
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

test('each slot is received exactly once, and fresh', () => {
  expect(runFuzzer(() => StepState.create(OPTIONS))).toBe('clean');
});

/** Remembers at the home what was sent, in place of the trainer's cursor. */
function createServerLedger(): StepOwner {
  const home = copyState(StepState.create(OPTIONS));
  let cursor = '';
  return {
    ...home,
    openPull: request => home.openPull({...request, cursor}),
    answerPull: pull => {
      const reply = home.answerPull(pull);
      cursor = reply.cursor;
      return reply;
    },
  };
}

test('control: a record at the home in place of the cursor is reported', () => {
  const report = runFuzzer(createServerLedger);
  expect(report).toMatch(/received twice|never received/);
});

/** Checks staleness when a sample is finished, not when it is delivered. */
function createEarlyCheck(): StepOwner {
  const unchecked = {...OPTIONS, stalenessBound: Number.MAX_SAFE_INTEGER};
  const home = copyState(StepState.create(unchecked));
  let newest = 0;
  return {
    ...home,
    observeVersion: version => {
      newest = Math.max(newest, version);
      home.observeVersion(version);
    },
    addSample: (copyId, sample, tokens) => {
      if (!isStale(sample, newest, OPTIONS.stalenessBound)) {
        return home.addSample(copyId, sample, tokens);
      }
      home.failCopy(copyId, 0);
      return false;
    },
  };
}

test('control: a check before the wait is reported', () => {
  expect(runFuzzer(createEarlyCheck)).toContain('over the bound');
});
