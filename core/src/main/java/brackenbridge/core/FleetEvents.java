package brackenbridge.core;

/** Applies the tenant quotas and zone weights that the fleet sets for this node. */
final class FleetEvents implements Event.FleetEvent.Handler<ReducerContext> {
    private final TenantAdmission admission;
    private final EndpointUpdates endpoints;

    FleetEvents(TenantAdmission admission, EndpointUpdates endpoints) {
        this.admission = admission;
        this.endpoints = endpoints;
    }

    @Override
    public void onTenantQuotasReceived(ReducerContext context, Event.TenantQuotasReceived event) {
        admission.applyQuotas(context, event.quotas());
    }

    @Override
    public void onZoneWeightsReceived(ReducerContext context, Event.ZoneWeightsReceived event) {
        endpoints.applyZoneWeights(context, event.weights());
    }
}
