/** What the stand-ins of the demo say that truly happened at them. */
import type {StartedStandin, TestSystem} from './system';

/** What an engine has done so far. */
export interface EngineTruth {
  readonly crashes: number;
  /** Generations that were broken off. */
  readonly broken: number;
  /** Generations under way. */
  readonly running: number;
}

interface TruthPage {
  readonly crashes: number;
  readonly executions: ReadonlyArray<{readonly ended: string}>;
}

/** Reads what an engine has done. */
export async function fetchEngineTruth(
  engine: StartedStandin,
): Promise<EngineTruth> {
  const reply = await fetch(`${engine.url}/admin/truth`);
  const {crashes, executions} = (await reply.json()) as TruthPage;
  const countEnded = (ended: string) =>
    executions.filter(execution => execution.ended === ended).length;
  return {
    crashes,
    broken: countEnded('broken'),
    running: countEnded('running'),
  };
}

/** Counts how often plain services have executed a call. */
export async function countExecutions(
  system: TestSystem,
  services: readonly string[],
  call: string,
): Promise<number> {
  const counts = services.map(async name => {
    const reply = await fetch(`${system.getEndpoint(name).url}/admin/truth`);
    const {executions} = (await reply.json()) as {
      readonly executions: Readonly<Record<string, number>>;
    };
    return executions[call] ?? 0;
  });
  return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
}
