/** Runs a node until it receives SIGTERM or SIGINT. */
import {
  SettingsFault,
  createEventLog,
  describeError,
  findKeyLine,
  loadSettings,
} from '@sassafrasspan/runtime';
import {AgentProcess} from '../agent/agent_process';
import {EntryProcess} from '../entry/entry_process';
import {
  AGENT_SETTINGS_SCHEMA,
  ENTRY_SETTINGS_SCHEMA,
  NodeSettings,
} from '../shared/settings_schemas';
import {EXIT_FAILED, EXIT_USAGE, printFaults} from './output';

const LISTEN_KEYS = ['peers', 'operators', 'callers', 'weights'] as const;

/** A process that can be started and stopped. */
interface NodeProcess {
  start(): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts an entry from its settings file. */
export async function runEntry(file: string): Promise<void> {
  const settings = loadSettings(file, ENTRY_SETTINGS_SCHEMA);
  if (settings.isErr()) return printFaults(settings.error);
  await runProcess(file, settings.value, EntryProcess.create(settings.value));
}

/** Starts an agent from its settings file. */
export async function runAgent(file: string): Promise<void> {
  const settings = loadSettings(file, AGENT_SETTINGS_SCHEMA);
  if (settings.isErr()) return printFaults(settings.error);
  await runProcess(file, settings.value, AgentProcess.create(settings.value));
}

/** Starts a node, prints its addresses as a line of JSON, stops on a signal. */
async function runProcess(
  file: string,
  settings: NodeSettings,
  node: NodeProcess,
): Promise<void> {
  terminateOnFault(settings);
  const addresses = await startOrExit(file, settings, node);
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  const stopNode = () => {
    void node.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stopNode);
  process.on('SIGINT', stopNode);
}

/** Logs an uncaught exception and ends the process. */
function terminateOnFault(settings: NodeSettings): void {
  const {name, role} = settings;
  const log = createEventLog({node: name, role, level: 'error'});
  process.on('uncaughtException', error => {
    const stack = error.stack ?? error.message;
    log.writeEvent('process-fault', {stack});
    process.exit(EXIT_FAILED);
  });
}

/** Starts a node; if that fails, prints the fault and ends the process. */
async function startOrExit(
  file: string,
  settings: NodeSettings,
  node: NodeProcess,
): Promise<unknown> {
  try {
    return await node.start();
  } catch (error) {
    printFaults([explainStartFault(file, settings, describeError(error))]);
    process.exit(EXIT_USAGE);
  }
}

/** Finds the address in the settings that caused an error of `listen`. */
function explainStartFault(
  file: string,
  settings: NodeSettings,
  message: string,
): SettingsFault {
  const addresses = {callers: undefined, weights: undefined, ...settings};
  const key = LISTEN_KEYS.find(name => {
    const address = addresses[name];
    return message.includes(`${address?.host}:${address?.port}`);
  });
  if (key === undefined) return {file, line: 1, key: '', reason: message};
  const line = findKeyLine(file, [key, 'port']);
  const reason = `expected an address that is free; ${message}`;
  return {file, line, key: `${key}.port`, reason};
}
