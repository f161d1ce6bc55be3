/** The `status` command: nodes, endpoints and outages of the platform. */
import {RULES_HEAD_KEY} from '@sassafrasspan/core';
import {
  PlatformLine,
  STATUS_PAGE_SCHEMA,
  StatusReport,
  createStatusReport,
  fetchPages,
  formatStatusReport,
} from '@sassafrasspan/operators';
import {ObjectClient} from '@sassafrasspan/platform';
import {command, flag} from 'cmd-ts';
import {
  NO_NODES,
  OperatorsSources,
  SOURCE_OPTIONS,
  findNodes,
  readSources,
} from './operators_sources';
import {
  EXIT_FAILED,
  EXIT_USAGE,
  printFailure,
  printFaults,
  printLine,
} from './output';

/** Reads the pages of all nodes and probes the platform's APIs. */
export async function readStatus(
  sources: OperatorsSources,
): Promise<StatusReport> {
  const nodes = await findNodes(sources);
  const [pages, objects] = await Promise.all([
    fetchPages(nodes.urls, '/status', STATUS_PAGE_SCHEMA),
    probeObjects(sources.objectsUrl),
  ]);
  return createStatusReport({
    pages,
    outages: [...nodes.outages, ...objects],
    leavingVms: nodes.vms
      .filter(vm => vm.state === 'leaving')
      .map(vm => vm.name),
  });
}

async function probeObjects(url: string | undefined): Promise<PlatformLine[]> {
  if (url === undefined) return [];
  const store = ObjectClient.create(url);
  const read = await store.readObject(RULES_HEAD_KEY);
  await store.close();
  if (read.isOk()) return [];
  const {detail} = read.error;
  return [{part: 'object API', seenBy: 'this command', detail}];
}

/** The `status` command. */
export const STATUS_COMMAND = command({
  name: 'status',
  description:
    'Show nodes, endpoints, reasons for outages, and platform parts that are ' +
    'down.',
  args: {
    ...SOURCE_OPTIONS,
    json: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    const report = await readStatus(sources.value);
    if (report.nodes.length === 0) {
      return printFailure(NO_NODES, EXIT_USAGE);
    }
    if (args.json) printLine(JSON.stringify(report, undefined, 2));
    else printLine(formatStatusReport(report));
    const isAnswered = report.nodes.some(node => node.role !== '?');
    if (!isAnswered) printFailure('no node answers', EXIT_FAILED);
  },
});
