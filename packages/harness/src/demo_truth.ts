/**
 * Reads from the stand-ins (fake servers) which calls they really executed. This
 * is the ground truth, or "truth", against which the demo checks the answers.
 */
import type {StartedStandin, TestSystem} from './system';

/** What an engine stand-in has recorded since its start. */
export interface EngineTruth {
  readonly crashes: number;
  /** Generations that ended before they were complete. */
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

/**
 * Returns how many times the endpoints of a plain service (an HTTP service that
 * is not a model engine) have executed a call, in total. `callId` is the call's
 * `x-call` header or, without one, its path.
 */
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
