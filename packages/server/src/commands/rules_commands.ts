/** The `rules` commands: check, apply, show and history. */
import {userInfo} from 'node:os';
import type {AttributedRule, RuleFault} from '@sassafrasspan/core';
import {applyRules, parseRules} from '@sassafrasspan/operators';
import {ObjectClient} from '@sassafrasspan/platform';
import {SYSTEM_CLOCK, readTextFile} from '@sassafrasspan/runtime';
import {
  command,
  number,
  option,
  optional,
  positional,
  string,
  subcommands,
} from 'cmd-ts';
import {
  EXIT_FAILED,
  EXIT_USAGE,
  printFailure,
  printFaults,
  printLine,
} from './output';
import {SOURCE_OPTIONS, readSources} from './operators_sources';
import {RULES_HISTORY, RULES_SHOW} from './rules_reading_commands';

const FILE_ARGUMENT = positional({
  type: string,
  displayName: 'FILE',
  description: 'rules file',
});

/** A valid rules file. */
interface CheckedRules {
  readonly text: string;
  readonly rules: AttributedRule[];
}

function readRulesFile(file: string): CheckedRules | undefined {
  const read = readTextFile(file);
  if (read.isErr()) {
    printFaults(read.error);
    return undefined;
  }
  const text = read.value;
  const parsed = parseRules(text);
  if (parsed.isOk()) return {text, rules: parsed.value};
  for (const fault of parsed.error) printRuleFault(file, fault);
  return undefined;
}

function printRuleFault(file: string, fault: RuleFault): void {
  printFailure(`${file}:${fault.line}: ${fault.reason}`, EXIT_USAGE);
}

const check = command({
  name: 'check',
  description: 'Check a rules file; changes nothing.',
  args: {file: FILE_ARGUMENT},
  handler: ({file}) => {
    const checked = readRulesFile(file);
    if (checked !== undefined) {
      printLine(`${checked.rules.length} rules are valid`);
    }
  },
});

const apply = command({
  name: 'apply',
  description:
    'Check a rules file and put it into force. A file with a fault ' +
    'changes nothing (exit 2); a concurrent edit is a conflict (exit 1).',
  args: {
    file: FILE_ARGUMENT,
    ...SOURCE_OPTIONS,
    basedOn: option({
      type: optional(number),
      long: 'based-on',
      description: 'fail unless this is the newest revision',
    }),
    author: option({
      type: string,
      long: 'author',
      defaultValue: () => userInfo().username,
      description: 'name of the person who applies the file',
    }),
  },
  handler: async ({file, basedOn, author, ...options}) => {
    const checked = readRulesFile(file);
    if (checked === undefined) return;
    const sources = readSources(options);
    if (sources.isErr()) return printFaults(sources.error);
    const {objectsUrl} = sources.value;
    if (objectsUrl === undefined) {
      const hint = 'expected --settings FILE or --objects URL';
      return printFailure(hint, EXIT_USAGE);
    }
    const store = ObjectClient.create(objectsUrl);
    const writtenAtMs = SYSTEM_CLOCK.readWallMs();
    const edit = {...checked, author, writtenAtMs, basedOn};
    const applied = await applyRules(store, edit);
    await store.close();
    if (applied.isOk()) {
      return printLine(`revision ${applied.value.revision} accepted`);
    }
    const {kind, detail} = applied.error;
    printFailure(`${kind}: ${detail}`, EXIT_FAILED);
  },
});

/** The `rules` command. */
export const RULES_COMMAND = subcommands({
  name: 'rules',
  description: 'Check, apply and show the rules.',
  cmds: {check, apply, show: RULES_SHOW, history: RULES_HISTORY},
});
