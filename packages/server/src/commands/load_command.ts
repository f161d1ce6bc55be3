/** The `load` command: generates load of callers and trainers on entries. */
import {
  TrainerLoad,
  formatLoadReport,
  planCalls,
  runCallers,
  runTrainer,
} from '@sassafrasspan/operators';
import {
  array,
  command,
  flag,
  multioption,
  number,
  option,
  string,
} from 'cmd-ts';
import {EXIT_FAILED, EXIT_USAGE, printFailure, printLine} from './output';

const MS_PER_SECOND = 1_000;
const STEP_TIMEOUT_MS = 120_000;

function createNumberOption(long: string, value: number, description: string) {
  return option({
    type: number,
    long,
    defaultValue: () => value,
    defaultValueIsSerializable: true,
    description,
  });
}

function createListOption(long: string, description: string) {
  return multioption({type: array(string), long, description});
}

/** The `load` command. */
export const LOAD_COMMAND = command({
  name: 'load',
  description:
    'Generate load of callers and trainers on entries; print latency, ' +
    'refusals, idle time and age of samples.',
  args: {
    entries: createListOption('entry', "URL of an entry's callers' port"),
    key: option({type: string, long: 'key', description: 'API key'}),
    models: createListOption('model', 'service to ask for completions'),
    paths: createListOption('call', 'plain call, as SERVICE/PATH'),
    trainers: createListOption('trainer', 'trainer that runs steps'),
    seed: createNumberOption('seed', 1, 'random seed of the calls'),
    rate: createNumberOption('rate', 10, 'calls per second'),
    seconds: createNumberOption(
      'seconds',
      10,
      'duration of the calls, in seconds',
    ),
    maxTokens: createNumberOption(
      'max-tokens',
      60,
      'maximum tokens per completion',
    ),
    steps: createNumberOption('steps', 2, 'steps per trainer'),
    groups: createNumberOption('groups', 8, 'prompts per step'),
    groupSize: createNumberOption('group-size', 4, 'samples per prompt'),
    trainMs: createNumberOption(
      'train-ms',
      500,
      'training time after a step, in ms',
    ),
    bound: createNumberOption('staleness-bound', 1, 'staleness bound'),
    firstVersion: createNumberOption('version', 0, 'first weight version'),
    scoring: option({
      type: string,
      long: 'scoring',
      defaultValue: () => 'score',
      defaultValueIsSerializable: true,
      description: 'scoring service of the steps',
    }),
    publish: flag({
      long: 'publish',
      description: 'publish a version after each step: engines swap weights',
    }),
  },
  handler: async args => {
    if (args.entries.length === 0) {
      return printFailure('expected --entry URL', EXIT_USAGE);
    }
    const target = {entryUrls: args.entries, apiKey: args.key};
    const plan = planCalls({
      perSecond: args.rate,
      durationMs: args.seconds * MS_PER_SECOND,
      models: args.models,
      paths: args.paths,
      maxTokens: args.maxTokens,
      seed: args.seed,
    });
    const {bound, publish, ...shape} = args;
    const loads = args.trainers.map((trainer): TrainerLoad => ({
      ...shape,
      trainer,
      stalenessBound: bound,
      isPublishing: publish,
      stepTimeoutMs: STEP_TIMEOUT_MS,
    }));
    const [calls, trainers] = await Promise.all([
      runCallers(target, plan),
      Promise.all(loads.map(load => runTrainer(target, load))),
    ]);
    printLine(`seed ${args.seed}, ${plan.length} calls planned`);
    printLine(formatLoadReport(calls, trainers));
    const isClean = trainers.every(
      tally => tally.timedOutSteps === 0 && tally.duplicateSamples === 0,
    );
    if (!isClean) process.exitCode = EXIT_FAILED;
  },
});
