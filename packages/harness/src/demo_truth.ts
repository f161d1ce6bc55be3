/** Reads the stand-ins' own records of the calls that they executed. */
import type {StartedStandin, TestSystem} from './system';

/** Counts of an engine stand-in since its start. */
export interface EngineTruth {
  readonly crashes: number;
  /** Generations that were aborted. */
  readonly aborted: number;
  /** Generations in progress. */
  readonly running: number;
}

interface TruthPage {
  readonly crashes: number;
  readonly executions: ReadonlyArray<{readonly ended: string}>;
}

export async function fetchEngineTruth(
  engine: StartedStandin,
): Promise<EngineTruth> {
  const reply = await fetch(`${engine.url}/admin/truth`);
  const {crashes, executions} = (await reply.json()) as TruthPage;
  const countEnded = (ended: string) =>
    executions.filter(execution => execution.ended === ended).length;
  return {
    crashes,
    aborted: countEnded('broken'),
    running: countEnded('running'),
  };
}

/** Returns how many times plain services have executed a call, in total. */
export async function countExecutions(
  system: TestSystem,
  endpointNames: readonly string[],
  callId: string,
): Promise<number> {
  const counts = endpointNames.map(async name => {
    const reply = await fetch(`${system.getEndpoint(name).url}/admin/truth`);
    const {executions} = (await reply.json()) as {
      readonly executions: Readonly<Record<string, number>>;
    };
    return executions[callId] ?? 0;
  });
  return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
}
