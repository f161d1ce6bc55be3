/** Crashes of an agent's endpoints and the requests that they implicate. */
import type {Quarantine, RunTable} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {EndpointUnit} from './endpoint_unit';

/** What a watch is built from. */
export interface CrashWatchOptions {
  readonly incarnation: string;
  readonly table: RunTable;
  readonly quarantine: Quarantine;
  readonly log: EventLog;
}

/** Names the crashes of one life of an agent. */
export class CrashWatch {
  private crashes = 0;
  /** Crash that broke off each run that has not reported its end yet. */
  private readonly crashOfRun = new Map<string, string>();

  private constructor(private readonly options: CrashWatchOptions) {}

  /** Builds a watch that has seen no crash. */
  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /**
   * Notes that a run was broken off and returns the name of the crash. All
   * that ran beside it when the first of them was broken off shares it.
   */
  recordCrash(unit: EndpointUnit, key: string): string {
    const known = this.crashOfRun.get(key);
    if (known !== undefined) return known;
    this.crashes += 1;
    const endpoint = unit.settings.name;
    const crashId = `${this.options.incarnation}/${endpoint}/${this.crashes}`;
    const keys = [...unit.handles.keys()];
    for (const running of keys) this.crashOfRun.set(running, crashId);
    unit.markCrashed();
    const running = keys.length;
    this.options.log.writeEvent('endpoint-crashed', {endpoint, running});
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

  /** Notes that a run has ended. */
  removeRun(key: string): void {
    this.crashOfRun.delete(key);
  }
}
