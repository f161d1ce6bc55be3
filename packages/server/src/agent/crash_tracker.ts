/** Tracks endpoint crashes and the requests that ran when they happened. */
import type {Quarantine, RunTable} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {ManagedEndpoint} from './managed_endpoint';

export interface CrashTrackerOptions {
  readonly incarnation: string;
  readonly table: RunTable;
  readonly quarantine: Quarantine;
  readonly log: EventLog;
}

/** Assigns ids to the crashes during one incarnation of an agent. */
export class CrashTracker {
  private crashCount = 0;
  /** Crash id by run, for interrupted runs that have not ended yet. */
  private readonly crashIdByRun = new Map<string, string>();

  private constructor(private readonly options: CrashTrackerOptions) {}

  static create(options: CrashTrackerOptions): CrashTracker {
    return new CrashTracker(options);
  }

  /**
   * Records that a crash interrupted a run and returns the crash id. All runs
   * on the endpoint at the first interruption share one id.
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

  /** Records a crash that an entry reports with a dispatched request. */
  recordReportedCrash(fingerprint: string, crashId: string | undefined): void {
    if (crashId === undefined) return;
    this.options.quarantine.implicate([fingerprint], crashId);
  }

  removeRun(key: string): void {
    this.crashIdByRun.delete(key);
  }
}
