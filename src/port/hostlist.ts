import type { Result } from 'ts-results';
import type { Failure, HostId } from '../base/index.js';

/** The platform's list of hosts. It lags behind the actual state. */
export interface HostList {
  read(): Promise<
    Result<
      readonly {
        readonly id: HostId;
        readonly role: 'entry' | 'sidecar';
        /** IP address and port of the process's gRPC listener. */
        readonly address: string;
        readonly availabilityZone: string;
        readonly region: string;
        readonly state: 'live' | 'leaving';
      }[],
      Failure
    >
  >;
}
