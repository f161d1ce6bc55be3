/** Runs a node until it is told to stop. */
import {
  SettingsFault,
  formatSettingsFault,
  loadSettings,
} from '@sassafrasspan/runtime';
import type {z} from 'zod';
import {AgentProcess} from '../agent/agent_process';
import {EntryProcess} from '../entry/entry_process';
import {
  AGENT_SETTINGS_SCHEMA,
  ENTRY_SETTINGS_SCHEMA,
} from '../shared/settings_schemas';

/** Exit code for faults in files or arguments. */
export const EXIT_USAGE = 2;

/** A process that can be started and stopped. */
interface NodeProcess {
  start(): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts an entry from its settings file. */
export async function runEntry(file: string): Promise<void> {
  const settings = readSettings(file, ENTRY_SETTINGS_SCHEMA);
  if (settings !== undefined) await runProcess(EntryProcess.create(settings));
}

/** Starts an agent from its settings file. */
export async function runAgent(file: string): Promise<void> {
  const settings = readSettings(file, AGENT_SETTINGS_SCHEMA);
  if (settings !== undefined) await runProcess(AgentProcess.create(settings));
}

function readSettings<T>(file: string, schema: z.ZodType<T>): T | undefined {
  const settings = loadSettings(file, schema);
  if (settings.isOk()) return settings.value;
  printFaults(settings.error);
  return undefined;
}

/** Prints faults of a settings file and sets the exit code. */
export function printFaults(faults: readonly SettingsFault[]): void {
  for (const fault of faults) {
    process.stderr.write(`${formatSettingsFault(fault)}\n`);
  }
  process.exitCode = EXIT_USAGE;
}

/** Prints the addresses as one line of JSON, then runs until a signal. */
async function runProcess(node: NodeProcess): Promise<void> {
  const addresses = await node.start();
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  const stopNode = () => {
    void node.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stopNode);
  process.on('SIGINT', stopNode);
}
