import { Ajv } from 'ajv';
import type { Result } from 'ts-results';
import { fetch } from 'undici';
import { result, toFailure, type Failure } from '../../base/index.js';
import type { HostList } from '../../port/index.js';
import { readText } from '../body/index.js';
import type { HostListSettings } from './hostlistsettings.js';

type Hosts = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'];

const NOT_MODIFIED = 304;

const text = { type: 'string', minLength: 1 } as const;

const check = new Ajv().compile({
  type: 'array',
  items: {
    type: 'object',
    required: ['id', 'role', 'address', 'availabilityZone', 'region', 'state'],
    properties: {
      id: text,
      role: { type: 'string', enum: ['entry', 'sidecar'] },
      address: text,
      availabilityZone: text,
      region: text,
      state: { type: 'string', enum: ['live', 'leaving'] },
    },
  },
});

/** Reads the host list over HTTP. If the platform sends an `ETag`, an unchanged list is not transferred again. */
export class HttpHostList implements HostList {
  private etag = '';

  private last: Hosts = [];

  constructor(private readonly settings: HostListSettings) {}

  async read(): ReturnType<HostList['read']> {
    const { url, timeoutMs } = this.settings;
    try {
      const headers = this.etag ? { 'if-none-match': this.etag } : undefined;
      const answer = await fetch(url, { headers, signal: AbortSignal.timeout(timeoutMs) });
      if (answer.status === NOT_MODIFIED) return result.Ok(this.last);
      if (!answer.ok || !answer.body) return this.fail(`The host list answered ${answer.status}.`);
      const hosts: unknown = JSON.parse(await readText(answer.body));
      if (!check(hosts)) return this.fail('The host list is not an array of hosts.');
      this.etag = answer.headers.get('etag') ?? '';
      this.last = hosts as Hosts;
      return result.Ok(this.last);
    } catch (thrown) {
      return result.Err(toFailure('host-list-unreadable', thrown));
    }
  }

  private fail(detail: string): Result<Hosts, Failure> {
    return result.Err({ type: 'host-list-unreadable', detail });
  }
}
