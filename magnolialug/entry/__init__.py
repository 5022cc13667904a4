"""The entry and the gateway: processes between load balancer and endpoints."""
