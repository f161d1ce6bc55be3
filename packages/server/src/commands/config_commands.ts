/** The `config` command: checks files before they are used. */
import {command, restPositionals, string, subcommands} from 'cmd-ts';
import {checkFile} from './check_file';
import {EXIT_USAGE, printFailure, printFaults, printLine} from './output';

/** Checks files; prints for each a line of summary or its faults. */
export function checkFiles(files: readonly string[]): void {
  if (files.length === 0) printFailure('expected FILE...', EXIT_USAGE);
  for (const file of files) {
    const checked = checkFile(file);
    if (checked.isOk()) printLine(`${file}: ${checked.value}`);
    else printFaults(checked.error);
  }
}

const check = command({
  name: 'check',
  description:
    'Check settings files (entry, agent, operators) and rules files. ' +
    'Prints file, line, key and what is expected for each fault and exits ' +
    'with 2; starts and changes nothing.',
  args: {
    files: restPositionals({
      type: string,
      displayName: 'FILE',
      description: 'settings or rules files (YAML)',
    }),
  },
  handler: ({files}) => checkFiles(files),
});

/** The `config` command. */
export const CONFIG_COMMAND = subcommands({
  name: 'config',
  description: 'Check settings and rules files.',
  cmds: {check},
});
