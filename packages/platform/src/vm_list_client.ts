/** Client of the platform's lagging list of live and leaving VMs. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 2_000;

/** Schema of one VM of the list. */
export const LISTED_VM_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  failureDomain: z.string(),
  /** Host and port of the node's peer server. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** One VM of the list. */
export type ListedVm = z.infer<typeof LISTED_VM_SCHEMA>;

const VM_LIST_SCHEMA = z.object({vms: z.array(LISTED_VM_SCHEMA)});

/** What the system needs of the VM list. */
export interface VmList {
  /** Returns the VMs as the platform last knew them. */
  listVms(): Promise<Result<ListedVm[], ServiceError>>;
}

/** VM list over HTTP. */
export class VmListClient implements VmList {
  private constructor(private readonly baseUrl: string) {}

  /** Builds a client for a base URL. */
  static create(baseUrl: string): VmListClient {
    return new VmListClient(baseUrl);
  }

  async listVms(): Promise<Result<ListedVm[], ServiceError>> {
    try {
      const reply = await request(`${this.baseUrl}/vms`, {
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const parsed = VM_LIST_SCHEMA.parse(await reply.body.json());
      return ok(parsed.vms);
    } catch (error) {
      return err(createError('platform-down', describeError(error)));
    }
  }
}
