import type { Order } from '../../port/index.js';
import type { ResidencyEvent } from '../../core/residency/index.js';
import type { ResidencyPorts } from './residencyports.js';

type AnsweredEvent = Extract<ResidencyEvent, { type: 'answered' }>;

/** Sends orders to the engine, writes them to the audit trail, and passes on the engine's replies. */
export class OrderSender {
  constructor(
    private readonly ports: ResidencyPorts,
    private readonly onAnswer: (event: AnsweredEvent) => void,
  ) {}

  async send(order: Order): Promise<void> {
    const { orderId } = order;
    this.audit('order-sent', order);
    this.ports.metrics.count('order.sent', 1, { action: order.action });
    const answer = await this.ports.engine.order(order);
    if (answer.ok) {
      this.onAnswer({ type: 'answered', orderId, outcome: 'accepted' });
      return;
    }
    const { type, detail } = answer.val;
    this.ports.log.warn('order not confirmed', { orderId, type, detail });
    this.ports.metrics.count('order.unconfirmed', 1, { type });
    const outcome = type === 'upstream-fenced' ? 'fenced' : 'unanswered';
    this.onAnswer({ type: 'answered', orderId, outcome });
  }

  /** Records that the engine's report has settled an order. */
  settled(order: Order): void {
    this.audit('order-settled', order);
    this.ports.metrics.count('order.settled', 1, { action: order.action });
  }

  private audit(act: string, order: Order): void {
    const { orderId, action, model, version, adapter, role, fencingToken } = order;
    const named = { model: model ?? '', version: version ?? '', adapter: adapter ?? '' };
    this.ports.audit.write({
      wallMs: this.ports.clock.wallMs(),
      actor: this.ports.settings.hostId,
      act,
      subject: this.ports.settings.upstream,
      detail: { orderId, action, fencingToken, ...named, role: role ?? '' },
    });
  }
}
