/** Crashes of an agent's endpoints and the requests that they implicate. */
import type {Quarantine, RunTable} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {ManagedEndpoint} from './managed_endpoint';

/** What a watch is built from. */
export interface CrashTrackerOptions {
  readonly incarnation: string;
  readonly table: RunTable;
  readonly quarantine: Quarantine;
  readonly log: EventLog;
}

/** Names the crashes of one life of an agent. */
export class CrashTracker {
  private crashCount = 0;
  /** Crash that broke off each run that has not reported its end yet. */
  private readonly crashIdByRun = new Map<string, string>();

  private constructor(private readonly options: CrashTrackerOptions) {}

  /** Builds a watch that has seen no crash. */
  static create(options: CrashTrackerOptions): CrashTracker {
    return new CrashTracker(options);
  }

  /**
   * Notes that a run was broken off and returns the name of the crash. All
   * that ran beside it when the first of them was broken off shares it.
   */
  recordCrash(endpoint: ManagedEndpoint, key: string): string {
    const knownCrashId = this.crashIdByRun.get(key);
    if (knownCrashId !== undefined) return knownCrashId;
    this.crashCount += 1;
    const {name} = endpoint.settings;
    const crashId = `${this.options.incarnation}/${name}/${this.crashCount}`;
    const keys = [...endpoint.handles.keys()];
    for (const runKey of keys) this.crashIdByRun.set(runKey, crashId);
    endpoint.markCrashed();
    const running = keys.length;
    this.options.log.writeEvent('endpoint-crashed', {endpoint: name, running});
    this.implicateRuns(keys, crashId);
    return crashId;
  }

  private implicateRuns(keys: readonly string[], crashId: string): void {
    const {table, quarantine, log} = this.options;
    const fingerprints = keys.flatMap(key => {
      const record = table.findByKey(key);
      return record === undefined ? [] : [record.dispatch.fingerprint];
    });
    for (const fingerprint of quarantine.implicate(fingerprints, crashId)) {
      log.writeEvent('request-quarantined', {fingerprint});
    }
  }

  /** Takes over what an entry knows of a request that it dispatches. */
  recordReportedCrash(fingerprint: string, crashId: string | undefined): void {
    if (crashId === undefined) return;
    this.options.quarantine.implicate([fingerprint], crashId);
  }

  /** Notes that a run has ended. */
  removeRun(key: string): void {
    this.crashIdByRun.delete(key);
  }
}
