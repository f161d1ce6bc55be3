/**
 * Sources from which the operators' commands read: the object API, the VM list
 * and the HTTP pages that nodes serve for operators. Given in a settings file or
 * by options.
 */
import type {PlatformLine} from '@sassafrasspan/operators';
import {VmListClient} from '@sassafrasspan/platform';
import type {ListedVm} from '@sassafrasspan/platform';
import {SettingsFault, loadSettings} from '@sassafrasspan/runtime';
import {multioption, option, optional, array, string} from 'cmd-ts';
import {Result, ok} from 'neverthrow';
import {
  OPERATORS_SETTINGS_SCHEMA,
  OperatorsSettings,
} from '../shared/settings_schemas';
import {EXIT_FAILED, EXIT_USAGE, printFailure} from './output';

/** Error if neither the settings nor the options name a node. */
export const NO_NODES = 'expected --settings FILE or --node URL to find nodes';
const SETTINGS_VARIABLE = 'SASSAFRASSPAN_OPERATORS';

/** Options of every command that reads the state of the system. */
export const SOURCE_OPTIONS = {
  settings: option({
    type: optional(string),
    long: 'settings',
    description:
      'settings file (YAML) of the role operators; default: the file named ' +
      `by the environment variable ${SETTINGS_VARIABLE}`,
  }),
  objects: option({
    type: optional(string),
    long: 'objects',
    description: 'URL of the object API of the platform',
  }),
  vms: option({
    type: optional(string),
    long: 'vms',
    description: 'URL of the VM list of the platform',
  }),
  nodes: multioption({
    type: array(string),
    long: 'node',
    description:
      'URL of the HTTP pages that a node serves for operators; may be repeated',
  }),
};

/** Values of `SOURCE_OPTIONS` as parsed from the command line. */
export interface SourceArguments {
  readonly settings: string | undefined;
  readonly objects: string | undefined;
  readonly vms: string | undefined;
  readonly nodes: readonly string[];
}

export interface OperatorsSources {
  readonly objectsUrl: string | undefined;
  readonly vmsUrl: string | undefined;
  readonly nodeUrls: readonly string[];
  readonly operatorsPort: number | undefined;
}

/** Merges the settings file and the options; options take precedence. */
export function readSources(
  options: SourceArguments,
): Result<OperatorsSources, SettingsFault[]> {
  const file = options.settings ?? process.env[SETTINGS_VARIABLE];
  const loaded: Result<OperatorsSettings | undefined, SettingsFault[]> =
    file === undefined
      ? ok(undefined)
      : loadSettings(file, OPERATORS_SETTINGS_SCHEMA);
  return loaded.map(settings => ({
    objectsUrl: options.objects ?? settings?.platform.objectsUrl,
    vmsUrl: options.vms ?? settings?.platform.vmsUrl,
    nodeUrls:
      options.nodes.length > 0 ? options.nodes : (settings?.nodes ?? []),
    operatorsPort: settings?.operatorsPort,
  }));
}

/** The nodes that a command can query. */
export interface KnownNodes {
  /** Base URLs of the nodes' HTTP pages for operators. */
  readonly urls: readonly string[];
  readonly vms: readonly ListedVm[];
  /**
   * Sources that did not answer: `part` names the source, `seenBy` the command
   * that noticed the outage.
   */
  readonly outages: readonly PlatformLine[];
}

/** Finds the nodes in the VM list and those named by URL. */
export async function findNodes(
  sources: OperatorsSources,
): Promise<KnownNodes> {
  const {vmsUrl, nodeUrls, operatorsPort} = sources;
  if (vmsUrl === undefined) return {urls: nodeUrls, vms: [], outages: []};
  const listed = await VmListClient.create(vmsUrl).listVms();
  if (listed.isErr()) {
    const {detail} = listed.error;
    const outage = {part: 'VM list', seenBy: 'this command', detail};
    return {urls: nodeUrls, vms: [], outages: [outage]};
  }
  const vms = listed.value;
  const listedUrls =
    operatorsPort === undefined
      ? []
      : vms.map(vm => `http://${readHost(vm.address)}:${operatorsPort}`);
  return {
    urls: [...new Set([...nodeUrls, ...listedUrls])],
    vms,
    outages: [],
  };
}

/** Finds the nodes' URLs; if there are none, prints why and returns undefined. */
export async function findNodeUrls(
  sources: OperatorsSources,
): Promise<readonly string[] | undefined> {
  const {urls, outages} = await findNodes(sources);
  if (urls.length > 0) return urls;
  for (const {part, detail} of outages) {
    printFailure(`the ${part} does not answer: ${detail}`, EXIT_FAILED);
  }
  printFailure(NO_NODES, EXIT_USAGE);
  return undefined;
}

function readHost(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
