/** The `drain` command: an endpoint finishes its work and gets no new work. */
import type {EndpointLine, StatusReport} from '@sassafrasspan/operators';
import {drainEndpoint} from '@sassafrasspan/nodes';
import {waitMs} from '@sassafrasspan/runtime';
import {command, flag, option, optional, positional, string} from 'cmd-ts';
import {Result, err, ok} from 'neverthrow';
import {
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
import {readStatus} from './status_command';

const WAIT_POLL_MS = 500;

/** An endpoint or all endpoints of an agent. */
interface DrainTarget {
  /** Peers address of the agent. */
  readonly address: string;
  /** Empty for every endpoint of the agent. */
  readonly endpoint: string;
}

/** Resolves the name of an endpoint or an agent; errors are advice. */
async function findTarget(
  name: string,
  sources: OperatorsSources,
): Promise<Result<DrainTarget, string>> {
  const [report, nodes] = await Promise.all([
    readStatus(sources),
    findNodes(sources),
  ]);
  const endpoint = report.endpoints.find(line => line.name === name);
  const agent = endpoint?.agent ?? name;
  const role = findRole(agent, report, endpoint);
  const vm = nodes.vms.find(listedVm => listedVm.name === agent);
  if ((vm?.role ?? role) === 'entry') {
    const advice = 'stop it with SIGTERM: it finishes its open requests';
    return err(`${name} is an entry; ${advice}`);
  }
  if (vm === undefined) {
    const advice = 'give its peers address as --address HOST:PORT';
    return err(`the VM list has no agent for ${name}; ${advice}`);
  }
  return ok({address: vm.address, endpoint: endpoint?.name ?? ''});
}

function findRole(
  agent: string,
  report: StatusReport,
  endpoint: EndpointLine | undefined,
): string | undefined {
  if (endpoint !== undefined) return 'agent';
  return report.nodes.find(line => line.node === agent)?.role;
}

async function runDrain(target: DrainTarget, isWaiting: boolean) {
  for (;;) {
    const reply = await drainEndpoint(target.address, target.endpoint);
    if (reply.isErr()) {
      const {kind, detail} = reply.error;
      return printFailure(`${kind}: ${detail}`, EXIT_FAILED);
    }
    const {running, queued} = reply.value;
    printLine(`leaving: ${running} running, ${queued} queued`);
    if (!isWaiting || running + queued === 0) return undefined;
    await waitMs(WAIT_POLL_MS);
  }
}

/** The `drain` command. */
export const DRAIN_COMMAND = command({
  name: 'drain',
  description:
    'Stop giving new work to an endpoint, or to all endpoints of an agent; ' +
    'running work finishes.',
  args: {
    target: positional({
      type: string,
      displayName: 'NODE|ENDPOINT',
      description:
        'name of an agent or of an endpoint; it stays drained until its ' +
        'agent is restarted',
    }),
    wait: flag({long: 'wait', description: 'wait until nothing runs there'}),
    address: option({
      type: optional(string),
      long: 'address',
      description:
        'peers address of the agent (HOST:PORT) when the VM list is down; ' +
        'the target is then an endpoint name',
    }),
    ...SOURCE_OPTIONS,
  },
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    const target =
      args.address === undefined
        ? await findTarget(args.target, sources.value)
        : ok({address: args.address, endpoint: args.target});
    if (target.isErr()) return printFailure(target.error, EXIT_USAGE);
    return runDrain(target.value, args.wait);
  },
});
