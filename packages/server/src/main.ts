/** The command line of the one binary. */
import {binary, command, positional, run, string, subcommands} from 'cmd-ts';
import {RULES_COMMAND} from './commands/rules_commands';
import {runAgent, runEntry} from './commands/run_node';

const SETTINGS_ARGUMENT = positional({
  type: string,
  displayName: 'SETTINGS',
  description: 'settings file of the process (YAML)',
});

const entry = command({
  name: 'entry',
  description: 'Run an entry: takes callers and trainers.',
  args: {settings: SETTINGS_ARGUMENT},
  handler: ({settings}) => runEntry(settings),
});

const agent = command({
  name: 'agent',
  description: 'Run an agent: stands before the endpoints of its VM.',
  args: {settings: SETTINGS_ARGUMENT},
  handler: ({settings}) => runAgent(settings),
});

const cli = binary(
  subcommands({
    name: 'sassafrasspan',
    version: '0.1.0',
    description: 'A rollout service for reinforcement learning.',
    cmds: {entry, agent, rules: RULES_COMMAND},
  }),
);

void run(cli, process.argv);
