import { UpstreamRecord, type ModelDemand, type Resident } from '../../wire/index.js';
import type { Context } from '../part/index.js';

/** The fields of an upstream's record that change. */
interface RecordFields {
  readonly phase: 'joining' | 'ready' | 'leaving' | 'gone';
  readonly residents: readonly Resident[];
  readonly freeBytes: number;
  readonly role: string;
  readonly demand: readonly ModelDemand[];
}

/** Publishes the record of this sidecar's upstream to the region, through the board. */
export class RecordPublisher {
  private sequence = 0;

  constructor(private readonly context: Context) {}

  publish(fields: RecordFields, address: string): void {
    const { settings, incarnation, board } = this.context;
    const { upstream, service, availabilityZone } = settings;
    this.sequence += 1;
    const record = UpstreamRecord.fromPartial({
      ...fields,
      residents: [...fields.residents],
      demand: [...fields.demand],
      upstream,
      service,
      availabilityZone,
      address,
      incarnation: incarnation.current(),
      sequence: this.sequence,
      revision: board.revision(),
    });
    board.publish({
      key: `upstream/${service}/${upstream}`,
      epoch: incarnation.current(),
      sequence: this.sequence,
      value: Buffer.from(UpstreamRecord.encode(record).finish()),
    });
  }
}
