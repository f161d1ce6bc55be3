/**
 * Reads a list in a message or record of another node entry by entry. Nodes may run
 * other software versions: an entry that can't be read must not cost the others.
 */
import type * as z from 'zod/mini';

/** An entry that the schema does not allow. */
export interface RejectedEntry {
  readonly value: unknown;
  /** First field that is not allowed, and why. */
  readonly detail: string;
}

export interface SelectedEntries<T> {
  readonly entries: T[];
  readonly rejected: RejectedEntry[];
}

/** Returns the entries that a schema allows, in their order, and the others. */
export function selectEntries<T>(
  schema: z.ZodMiniType<T>,
  values: readonly unknown[],
): SelectedEntries<T> {
  const entries: T[] = [];
  const rejected: RejectedEntry[] = [];
  for (const value of values) {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
      entries.push(parsed.data);
      continue;
    }
    const issue = parsed.error.issues[0];
    const detail = `${issue?.path.join('.')}: ${issue?.message}`;
    rejected.push({value, detail});
  }
  return {entries, rejected};
}
