/** The command line of the `sassafrasspan` binary. */
import {
  binary,
  command,
  positional,
  runSafely,
  string,
  subcommands,
} from 'cmd-ts';
import {CONFIG_COMMAND} from './commands/config_commands';
import {DRAIN_COMMAND} from './commands/drain_command';
import {EXPLAIN_COMMAND} from './commands/explain_command';
import {LOAD_COMMAND} from './commands/load_command';
import {EXIT_USAGE} from './commands/output';
import {REPORT_COMMAND} from './commands/report_command';
import {RULES_COMMAND} from './commands/rules_commands';
import {runAgent, runEntry} from './commands/run_node';
import {STATUS_COMMAND} from './commands/status_command';
import {STEPS_COMMAND} from './commands/steps_command';

const SETTINGS_ARGUMENT = positional({
  type: string,
  displayName: 'SETTINGS',
  description: 'settings file of the process (YAML)',
});

const entry = command({
  name: 'entry',
  description: 'Run an entry, which serves callers and trainers.',
  args: {settings: SETTINGS_ARGUMENT},
  handler: ({settings}) => runEntry(settings),
});

const agent = command({
  name: 'agent',
  description: 'Run an agent, which manages the endpoints of its VM.',
  args: {settings: SETTINGS_ARGUMENT},
  handler: ({settings}) => runAgent(settings),
});

const cli = binary(
  subcommands({
    name: 'sassafrasspan',
    version: '0.1.0',
    description:
      'A rollout service for reinforcement learning. Exit codes: 0 done; ' +
      '1 the system refused, does not answer, or breaks a promise; ' +
      '2 faults in files or arguments.',
    cmds: {
      entry,
      agent,
      config: CONFIG_COMMAND,
      rules: RULES_COMMAND,
      status: STATUS_COMMAND,
      report: REPORT_COMMAND,
      explain: EXPLAIN_COMMAND,
      steps: STEPS_COMMAND,
      drain: DRAIN_COMMAND,
      load: LOAD_COMMAND,
    },
  }),
);

/** Runs the named command; wrong arguments exit with `EXIT_USAGE`. */
async function runCommandLine(): Promise<void> {
  const result = await runSafely(cli, process.argv);
  if (result._tag === 'ok') return;
  const {message, exitCode, into} = result.error.config;
  process[into].write(`${message}\n`);
  process.exitCode = exitCode === 0 ? 0 : EXIT_USAGE;
}

void runCommandLine();
